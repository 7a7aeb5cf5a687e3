//! Polls the status of all daemons.

use {
    super::{Violation, ViolationKind, daemon_state::DaemonState, run_collector::SoakEvent},
    crate::site::StatusClient,
    futures::future::join_all,
    reqwest::{Client, StatusCode},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{self, Instant},
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const METRICS_ROUNDS: u32 = 10;
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// Last known status of one daemon.
#[derive(Clone, Copy, Debug, Default)]
struct LastStatus {
    broken: f64,
    generation: u32,
    revision: u64,
}

/// Polls readiness, catalogue revisions and broken invariants of all daemons.
#[derive(Debug)]
pub(super) struct StatusWatch {
    pub(super) events: mpsc::UnboundedSender<SoakEvent>,
    pub(super) operators: Vec<SocketAddr>,
    pub(super) ready: watch::Sender<Vec<bool>>,
    pub(super) started: Instant,
    pub(super) states: watch::Receiver<Vec<DaemonState>>,
}

impl StatusWatch {
    /// Polls until the task is aborted.
    pub(super) async fn run(self) {
        let http = Client::new();
        let client = StatusClient::default();
        let mut last = vec![LastStatus::default(); self.operators.len()];
        let mut round = 0_u32;
        loop {
            let asked = self.operators.iter().map(|daemon| is_ready(&http, *daemon));
            self.ready.send_replace(join_all(asked).await);
            if round.is_multiple_of(METRICS_ROUNDS) {
                let checks = last.iter_mut().enumerate();
                join_all(checks.map(|(number, last)| self.check(&client, number, last))).await;
            }
            round = round.wrapping_add(1);
            time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn check(&self, client: &StatusClient, number: usize, last: &mut LastStatus) {
        let before = self.states.borrow()[number];
        if !before.should_answer {
            return;
        }
        let address = self.operators[number];
        let (status, metrics) = tokio::join!(client.status(address), client.metrics(address));
        let after = self.states.borrow()[number];
        if after != before {
            return;
        }
        if last.generation != before.generation {
            *last = LastStatus {
                generation: before.generation,
                ..LastStatus::default()
            };
        }
        if let Some(status) = status {
            if status.revision < last.revision {
                let detail = format!(
                    "daemon {number}: revision {} after {}",
                    status.revision, last.revision
                );
                self.report(ViolationKind::RevisionWentBack, detail);
            }
            last.revision = status.revision;
        }
        let broken = metrics.get("poplargap_invariants_broken_total").copied();
        let broken = broken.unwrap_or_default();
        if broken > last.broken {
            let detail = format!("daemon {number}: {broken} invariants broken");
            self.report(ViolationKind::InvariantBroken, detail);
        }
        last.broken = broken;
    }

    fn report(&self, kind: ViolationKind, detail: String) {
        let at = self.started.elapsed();
        // The send fails only after the collector has ended.
        let _sent = self
            .events
            .send(SoakEvent::Violation(Violation { at, detail, kind }));
    }
}

async fn is_ready(http: &Client, operators: SocketAddr) -> bool {
    let request = http.get(format!("http://{operators}/readyz"));
    let response = request.timeout(READY_TIMEOUT).send().await;
    response.is_ok_and(|response| response.status() == StatusCode::OK)
}
