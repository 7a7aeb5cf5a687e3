//! State shared by the callers of a soak.

use {
    super::{SoakCall, run_collector::SoakEvent},
    crate::caller::CallerClient,
    rand::Rng,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::Instant,
    },
};

/// State shared by the callers of a soak.
#[derive(Clone, Debug)]
pub(super) struct LoadContext {
    /// Clients by the number of their workspace.
    pub(super) clients: Vec<CallerClient>,
    /// Addresses of the daemons' listeners for callers.
    pub(super) daemons: Vec<SocketAddr>,
    pub(super) events: mpsc::UnboundedSender<SoakEvent>,
    /// Readiness of each daemon, as the platform's load balancer sees it.
    pub(super) ready: watch::Receiver<Vec<bool>>,
    pub(super) started: Instant,
    /// Number of the workspace with a surge, if any.
    pub(super) surge: watch::Receiver<Option<usize>>,
}

impl LoadContext {
    /// Draws a ready daemon, as the platform's load balancer does, or any daemon when none is
    /// ready.
    pub(super) fn pick_daemon(&self, rng: &mut impl Rng) -> usize {
        let ready = self.ready.borrow();
        let up: Vec<usize> = (0..ready.len()).filter(|number| ready[*number]).collect();
        if up.is_empty() {
            return rng.random_range(0..self.daemons.len());
        }
        up[rng.random_range(0..up.len())]
    }

    pub(super) fn record(&self, call: SoakCall) {
        // The send fails only after the collector has ended.
        let _sent = self.events.send(SoakEvent::Call(Box::new(call)));
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
