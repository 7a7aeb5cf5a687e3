//! Check that all daemons apply an accepted edit.

use {
    super::{Violation, ViolationKind, daemon_state::DaemonState, run_collector::SoakEvent},
    crate::site::StatusClient,
    futures::future::join_all,
    poplargap_core::catalogue::BUCKET_PREFIX,
    poplargap_platform::StoreClient,
    poplargap_store::KeyValueStore,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{self, Instant},
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Check that the daemons apply one accepted edit within `limit`.
#[derive(Debug)]
pub(super) struct EditCheck {
    pub(super) events: mpsc::UnboundedSender<SoakEvent>,
    pub(super) limit: Duration,
    pub(super) operators: Vec<SocketAddr>,
    pub(super) started: Instant,
    pub(super) states: watch::Receiver<Vec<DaemonState>>,
    pub(super) store: SocketAddr,
}

impl EditCheck {
    /// Waits until each daemon has applied the store's revision of the catalogue; skips daemons
    /// that shouldn't answer now or are stopped or restarted meanwhile.
    pub(super) async fn run(self) {
        let accepted = Instant::now();
        let before = self.states.borrow().clone();
        let Some(revision) = catalogue_revision(self.store).await else {
            return;
        };
        let client = StatusClient::default();
        let checks = (0..self.operators.len())
            .filter(|daemon| before[*daemon].should_answer)
            .map(|daemon| self.check(&client, daemon, before[daemon], revision, accepted));
        join_all(checks).await;
    }

    async fn check(
        &self,
        client: &StatusClient,
        daemon: usize,
        before: DaemonState,
        revision: u64,
        accepted: Instant,
    ) {
        loop {
            let status = client.status(self.operators[daemon]).await;
            let seen = status.map(|status| status.revision);
            let restarted = self.states.borrow()[daemon] != before;
            if restarted || seen.is_some_and(|seen| seen >= revision) {
                return;
            }
            if accepted.elapsed() > self.limit {
                let limit = self.limit;
                self.report(format!(
                    "daemon {daemon} has revision {seen:?} {limit:?} after the edit that made {revision}"
                ));
                return;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    fn report(&self, detail: String) {
        // The send fails only after the collector has ended.
        let _sent = self.events.send(SoakEvent::Violation(Violation {
            at: self.started.elapsed(),
            detail,
            kind: ViolationKind::EditLate,
        }));
    }
}

/// Returns the highest revision of the catalogue's buckets in the store, or none when it can't
/// be read.
async fn catalogue_revision(store: SocketAddr) -> Option<u64> {
    let store = StoreClient::new(store, STORE_TIMEOUT).ok()?;
    let mut after = None;
    let mut revision = 0;
    loop {
        let page = store.list(BUCKET_PREFIX, after.as_deref()).await.ok()?;
        let highest = page
            .values
            .iter()
            .map(|value| value.revision.number())
            .max();
        revision = revision.max(highest.unwrap_or_default());
        after = page.next;
        if after.is_none() {
            return Some(revision);
        }
    }
}
