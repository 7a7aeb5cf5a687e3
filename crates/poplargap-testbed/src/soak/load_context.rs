//! What the callers of a soak share.

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

/// What the callers of a soak share.
#[derive(Clone, Debug)]
pub(super) struct LoadContext {
    /// Callers by workspace.
    pub(super) clients: Vec<CallerClient>,
    /// Daemons' listeners for callers.
    pub(super) daemons: Vec<SocketAddr>,
    pub(super) events: mpsc::UnboundedSender<SoakEvent>,
    /// Daemons that the balancer sees as ready.
    pub(super) ready: watch::Receiver<Vec<bool>>,
    pub(super) started: Instant,
    /// Number of a workspace that surges.
    pub(super) surge: watch::Receiver<Option<usize>>,
}

impl LoadContext {
    /// Picks a ready daemon, as the platform's balancer does.
    pub(super) fn pick(&self, rng: &mut impl Rng) -> usize {
        let ready = self.ready.borrow();
        let up: Vec<usize> = (0..ready.len()).filter(|number| ready[*number]).collect();
        if up.is_empty() {
            return rng.random_range(0..self.daemons.len());
        }
        up[rng.random_range(0..up.len())]
    }

    pub(super) fn record(&self, call: SoakCall) {
        // A collector that is gone has no use for further calls.
        let _sent = self.events.send(SoakEvent::Call(Box::new(call)));
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
