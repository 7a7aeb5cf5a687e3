//! Operators' edits.

use {
    super::{FaultKind, ViolationKind, edit_confirm::EditConfirm, fault_driver::FaultDriver},
    crate::site::SitePlan,
    poplargap::{CommandError, Environment, ExitStatus},
    poplargap_core::catalogue::UpstreamState,
    std::{ffi::OsString, fs, io, net::SocketAddr, time::Duration},
};

/// Queue lengths that edits alternate between.
const QUEUES: [u32; 2] = [256, 300];

/// Time for an edit to be in force everywhere without faults.
const FORCE_MAX: Duration = Duration::from_secs(1);

/// Time for an edit to be in force everywhere under other faults.
const FORCE_FAULTY_MAX: Duration = Duration::from_secs(5);

/// Writes the declaration of an engine.
pub(super) fn upstream_text(
    plan: &SitePlan,
    engine: usize,
    address: SocketAddr,
    state: UpstreamState,
) -> String {
    let name = plan.upstream_name(&plan.engines, engine);
    let data_centre = plan.data_centre_of(engine);
    let pool = &plan.engines.name;
    format!(
        "[upstream {name}]\npool = {pool}\naddress = {address}\ndata-centre = {data_centre}\n\
         fencing = checked\nstate = {state}\n"
    )
}

fn pool_text(plan: &SitePlan, queue: u32) -> String {
    let pool = &plan.engines;
    let (name, multiple, shard_size, slots) =
        (&pool.name, pool.multiple, pool.shard_size, pool.slots);
    format!(
        "[pool {name}]\nkind = model\nmultiple = {multiple}\nqueue = {queue}\n\
         shard-size = {shard_size}\nslots = {slots}\n"
    )
}

impl FaultDriver {
    /// Applies an edit and has its coming into force checked; returns whether it was accepted.
    pub(super) async fn apply(&mut self, text: &str) -> bool {
        if let Err(error) = self.site.apply(text).await {
            self.report(ViolationKind::SoakFailed, format!("edit refused: {error}"));
            return false;
        }
        self.confirm();
        true
    }

    /// Changes the engines' pool, unless the store can't take that now.
    pub(super) async fn edit_pool(&mut self) {
        if self.is_store_hindered() {
            return;
        }
        self.edits += 1;
        let queue = QUEUES[self.edits as usize % QUEUES.len()];
        let text = pool_text(&self.plan, queue);
        self.apply(&text).await;
    }

    /// Has two operators edit one entry at once; returns whether the store can take that now.
    pub(super) async fn race(&mut self) -> bool {
        if self.is_store_hindered() {
            return false;
        }
        self.edits += 1;
        let first = pool_text(&self.plan, QUEUES[0] + self.edits);
        let second = pool_text(&self.plan, QUEUES[1] + self.edits);
        let store = self.site.store();
        match race(store, &first, &second).await {
            Ok(outcomes) if is_settled(&outcomes) => self.confirm(),
            Ok(outcomes) => {
                self.report(ViolationKind::RaceUnsettled, format!("{outcomes:?}"));
            }
            Err(error) => self.report(ViolationKind::SoakFailed, error.to_string()),
        }
        true
    }

    fn is_store_hindered(&self) -> bool {
        self.is_on(|kind| kind.is_of_store() && kind != FaultKind::StoreLinkDelay)
    }

    /// Checks in the background that the store's catalogue comes into force everywhere.
    fn confirm(&self) {
        if self.is_on(FaultKind::hides_edits) {
            return;
        }
        let limit = if self.active.is_empty() {
            FORCE_MAX
        } else {
            FORCE_FAULTY_MAX
        };
        let confirm = EditConfirm {
            events: self.events.clone(),
            limit,
            operators: self
                .site
                .daemons
                .iter()
                .map(|daemon| daemon.operators)
                .collect(),
            started: self.started,
            states: self.states.subscribe(),
            store: self.site.store(),
        };
        tokio::spawn(confirm.run());
    }
}

type RaceOutcome = (Result<(), CommandError>, Result<(), CommandError>);

/// Returns whether one edit won and the other was told of the conflict.
fn is_settled(outcomes: &RaceOutcome) -> bool {
    let ((Ok(()), Err(error)) | (Err(error), Ok(()))) = outcomes else {
        return false;
    };
    error.exit_status() == ExitStatus::Conflict
}

/// Applies two declarations at once, both based on the versions before.
async fn race(store: SocketAddr, first: &str, second: &str) -> io::Result<RaceOutcome> {
    let dir = tempfile::tempdir()?;
    let path = |name: &str| dir.path().join(name);
    let mut versions = Vec::new();
    let arguments: Vec<OsString> = ["get", "--versions", "--store"]
        .iter()
        .map(OsString::from)
        .chain([store.to_string().into()])
        .collect();
    let read = poplargap::run(arguments, Environment::default(), &mut versions).await;
    read.map_err(|error| io::Error::other(error.to_string()))?;
    fs::write(path("lock"), versions)?;
    fs::write(path("first"), first)?;
    fs::write(path("second"), second)?;
    let apply = async |name: &str| {
        let arguments: Vec<OsString> = vec![
            "apply".into(),
            "--base".into(),
            path("lock").into(),
            path(name).into(),
            "--store".into(),
            store.to_string().into(),
        ];
        poplargap::run(arguments, Environment::default(), &mut Vec::new()).await
    };
    Ok(tokio::join!(apply("first"), apply("second")))
}
