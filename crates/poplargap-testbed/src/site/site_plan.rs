//! Plan of a test site.

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
    /// Highest load of an upstream, as a multiple of the mean load.
    pub multiple: f64,
    /// The pool's name.
    pub name: String,
    /// Maximum number of requests that wait at one shard owner.
    pub queue: u32,
    /// Maximum number of upstreams in one shard.
    pub shard_size: u32,
    /// Maximum number of concurrent requests at one upstream.
    pub slots: u32,
    /// Number of upstreams, assigned to the data centres in rotation.
    pub upstreams: usize,
}

/// One class of one workspace.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Time within which a call must be answered completely.
    pub deadline: Duration,
    /// Limits of the class over all data centres together.
    pub limits: LimitSet,
    /// The class's name.
    pub name: String,
    /// The pool that serves the class.
    pub pool: String,
    /// Priority among waiting requests.
    pub priority: PriorityClass,
    /// Whether a call may be executed more than once.
    pub repeatable: bool,
}

/// One workspace of a site.
#[derive(Clone, Debug)]
pub struct WorkspacePlan {
    /// The workspace's classes.
    pub classes: Vec<ClassPlan>,
    /// The workspace's bearer key.
    pub key: String,
    /// The workspace's name.
    pub name: String,
}

/// Size and behaviour of a whole test site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Number of daemons, assigned to the data centres in rotation.
    pub daemons: usize,
    /// Settings of the desk stand-ins; their listen address is ignored.
    pub desk: DeskSettings,
    /// The pool of plain services.
    pub desks: PoolPlan,
    /// Settings of the engine stand-ins; their listen address is ignored.
    pub engine: EngineSettings,
    /// The pool of model engines.
    pub engines: PoolPlan,
    /// Whether upstreams check fencing numbers.
    pub fencing: FencingCheck,
    /// Text appended to every daemon's settings file.
    pub extra_settings: String,
    /// Log level of the daemons, as written in their settings.
    pub log_level: String,
    /// Policy by which daemons choose upstreams.
    pub policy: PolicyKind,
    /// Whether daemons reach the store and each other through relays with adjustable faults.
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
    /// Creates a workspace with three classes of chats in the pool `model`, and one each of
    /// lookups and bookings in the pool `service`; only bookings aren't repeatable.
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
    /// Creates a plan; daemons, engines and desks are assigned to the data centres in rotation.
    ///
    /// The pools are `curve` for engines and `desk` for desks, the workspaces `w01`, `w02`, ….
    /// There are no relays.
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
