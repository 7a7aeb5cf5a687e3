//! What a site consists of.

use {
    crate::{desk::DeskSettings, engine::EngineSettings},
    poplargap_core::{
        catalogue::{FencingCheck, LimitSet, PriorityClass},
        owner::PolicyKind,
    },
    std::time::Duration,
};

/// One pool of a site.
#[derive(Clone, Debug)]
pub struct PoolPlan {
    /// Multiple of the mean load that no upstream may pass.
    pub multiple: f64,
    /// The pool's name.
    pub name: String,
    /// Most requests that wait at one home.
    pub queue: u32,
    /// Most upstreams of one home.
    pub shard_size: u32,
    /// Most requests at one upstream.
    pub slots: u32,
    /// Upstreams over all data centres, dealt out in turn.
    pub upstreams: usize,
}

/// One class of one workspace.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Time for a whole answer.
    pub deadline: Duration,
    /// Limits over all data centres.
    pub limits: LimitSet,
    /// The class's name.
    pub name: String,
    /// The pool that serves the class.
    pub pool: String,
    /// Order among waiting work.
    pub priority: PriorityClass,
    /// Whether a call may run more than once.
    pub repeatable: bool,
}

/// One workspace.
#[derive(Clone, Debug)]
pub struct WorkspacePlan {
    /// The workspace's classes.
    pub classes: Vec<ClassPlan>,
    /// The bearer key.
    pub key: String,
    /// The workspace's name.
    pub name: String,
}

/// A whole site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Daemons over all data centres, dealt out in turn.
    pub daemons: usize,
    /// How desks behave.
    pub desk: DeskSettings,
    /// The pool of plain services.
    pub desks: PoolPlan,
    /// How engines behave.
    pub engine: EngineSettings,
    /// The pool of model engines.
    pub engines: PoolPlan,
    /// Whether upstreams check fencing numbers.
    pub fencing: FencingCheck,
    /// Lines added to every daemon's settings.
    pub extra_settings: String,
    /// Level of the daemons' logs.
    pub log_level: String,
    /// How daemons choose upstreams.
    pub policy: PolicyKind,
    /// Whether relays stand before the store and the daemons' listeners for peers.
    pub relays: bool,
    /// The workspaces.
    pub workspaces: Vec<WorkspacePlan>,
}

fn class(
    workspace: &str,
    name: &str,
    pool: &str,
    priority: PriorityClass,
    repeatable: bool,
) -> ClassPlan {
    ClassPlan {
        deadline: Duration::from_mins(1),
        limits: LimitSet::default(),
        name: format!("{workspace}.{name}"),
        pool: pool.to_owned(),
        priority,
        repeatable,
    }
}

impl WorkspacePlan {
    /// Creates a workspace with chats of `model` and lookups and bookings of `service`.
    #[must_use]
    pub fn new(name: &str, model: &str, service: &str) -> Self {
        Self {
            classes: vec![
                class(name, "checks", model, PriorityClass::Interactive, true),
                class(name, "notes", model, PriorityClass::Interactive, true),
                class(name, "reports", model, PriorityClass::Batch, true),
                class(name, "lookups", service, PriorityClass::Interactive, true),
                class(name, "bookings", service, PriorityClass::Interactive, false),
            ],
            key: format!("key-of-{name}"),
            name: name.to_owned(),
        }
    }
}

impl SitePlan {
    /// Creates a site of `data_centres` with `daemons`, `engines` and `desks` dealt out in turn.
    #[must_use]
    pub fn new(
        data_centres: &[&str],
        daemons: usize,
        engines: usize,
        desks: usize,
        workspaces: usize,
    ) -> Self {
        let pool = |name: &str, upstreams| PoolPlan {
            multiple: 1.5,
            name: name.to_owned(),
            queue: 256,
            shard_size: 32,
            slots: 24,
            upstreams,
        };
        let workspaces = (1..=workspaces)
            .map(|number| WorkspacePlan::new(&format!("w{number:02}"), "curve", "desk"));
        Self {
            daemons,
            data_centres: data_centres.iter().map(|name| (*name).to_owned()).collect(),
            desk: DeskSettings::default(),
            desks: pool("desk", desks),
            engine: EngineSettings::default(),
            engines: pool("curve", engines),
            extra_settings: String::new(),
            fencing: FencingCheck::Checked,
            log_level: "warning".to_owned(),
            policy: PolicyKind::Affinity,
            relays: false,
            workspaces: workspaces.collect(),
        }
    }

    /// Returns the data centre of the upstream or daemon with this number.
    #[must_use]
    pub fn data_centre_of(&self, number: usize) -> &str {
        &self.data_centres[number % self.data_centres.len()]
    }
    /// Returns the name of a pool's upstream with this number.
    #[must_use]
    pub fn upstream_name(&self, pool: &PoolPlan, number: usize) -> String {
        format!("{}-{}-{number:02}", pool.name, self.data_centre_of(number))
    }
}
