//! Edits of the catalogue during a soak.

use {
    super::{FaultKind, ViolationKind, edit_check::EditCheck, fault_driver::FaultDriver},
    crate::site::SitePlan,
    poplargap::{CommandError, Environment, ExitStatus},
    poplargap_core::catalogue::UpstreamState,
    std::{ffi::OsString, fs, io, net::SocketAddr, time::Duration},
};

/// Queue lengths, in requests, between which edits of the engines' pool alternate.
const QUEUES: [u32; 2] = [256, 300];

/// Time in which all daemons must apply an edit while no fault is active.
const APPLY_MAX: Duration = Duration::from_secs(1);

/// Time in which all daemons must apply an edit while other faults are active.
const APPLY_FAULTY_MAX: Duration = Duration::from_secs(5);

/// Returns the declaration of an engine's upstream in the catalogue's format.
pub(super) fn upstream_declaration(
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

fn pool_declaration(plan: &SitePlan, queue: u32) -> String {
    let pool = &plan.engines;
    let (name, multiple, shard_size, slots) =
        (&pool.name, pool.multiple, pool.shard_size, pool.slots);
    format!(
        "[pool {name}]\nkind = model\nmultiple = {multiple}\nqueue = {queue}\n\
         shard-size = {shard_size}\nslots = {slots}\n"
    )
}

impl FaultDriver {
    /// Applies an edit and starts the check that all daemons apply it; returns whether it was
    /// accepted.
    pub(super) async fn apply(&mut self, text: &str) -> bool {
        if let Err(error) = self.site.apply(text).await {
            self.report(ViolationKind::SoakFailed, format!("edit refused: {error}"));
            return false;
        }
        self.check_edit();
        true
    }

    /// Changes the queue of the engines' pool, unless the store is faulty now.
    pub(super) async fn edit_pool(&mut self) {
        if self.is_store_faulty() {
            return;
        }
        self.edits += 1;
        let queue = QUEUES[self.edits as usize % QUEUES.len()];
        let text = pool_declaration(&self.plan, queue);
        self.apply(&text).await;
    }

    /// Applies two edits of one entry concurrently; returns false without doing so when the store
    /// is faulty now.
    pub(super) async fn race_edits(&mut self) -> bool {
        if self.is_store_faulty() {
            return false;
        }
        self.edits += 1;
        let first = pool_declaration(&self.plan, QUEUES[0] + self.edits);
        let second = pool_declaration(&self.plan, QUEUES[1] + self.edits);
        let store = self.site.store();
        match apply_concurrently(store, &first, &second).await {
            Ok(outcomes) if has_one_winner(&outcomes) => self.check_edit(),
            Ok(outcomes) => {
                self.report(ViolationKind::RaceUnsettled, format!("{outcomes:?}"));
            }
            Err(error) => self.report(ViolationKind::SoakFailed, error.to_string()),
        }
        true
    }

    fn is_store_faulty(&self) -> bool {
        self.is_active(|kind| kind.affects_store() && kind != FaultKind::StoreLinkDelay)
    }

    /// Checks in the background that all daemons apply the store's catalogue in time.
    fn check_edit(&self) {
        if self.is_active(FaultKind::delays_edits) {
            return;
        }
        let limit = if self.active.is_empty() {
            APPLY_MAX
        } else {
            APPLY_FAULTY_MAX
        };
        let check = EditCheck {
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
        tokio::spawn(check.run());
    }
}

type RaceOutcome = (Result<(), CommandError>, Result<(), CommandError>);

/// Returns whether one edit was accepted and the other refused with a conflict.
fn has_one_winner(outcomes: &RaceOutcome) -> bool {
    let ((Ok(()), Err(error)) | (Err(error), Ok(()))) = outcomes else {
        return false;
    };
    error.exit_status() == ExitStatus::Conflict
}

/// Applies two declarations concurrently, both based on the versions read before.
async fn apply_concurrently(
    store: SocketAddr,
    first: &str,
    second: &str,
) -> io::Result<RaceOutcome> {
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
