//! Distribution of the shutdown phase to a front proxy's tasks.

use {poplargap_core::forward::ClosePhase, std::sync::Arc, tokio::sync::watch};

/// The current phase of the shutdown, shared by all tasks; `None` before the shutdown.
#[derive(Clone, Debug)]
pub(crate) struct CloseSignal {
    phase: Arc<watch::Sender<Option<ClosePhase>>>,
}

impl CloseSignal {
    pub(crate) fn new() -> Self {
        Self {
            phase: Arc::new(watch::Sender::new(None)),
        }
    }

    pub(crate) fn enter(&self, phase: ClosePhase) {
        self.phase.send_if_modified(|current| {
            let changed = *current != Some(phase);
            *current = Some(phase);
            changed
        });
    }

    pub(crate) fn phase(&self) -> Option<ClosePhase> {
        *self.phase.borrow()
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.phase().is_some()
    }

    /// Waits until the shutdown has reached a phase.
    pub(crate) async fn wait_until(&self, wanted: ClosePhase) {
        let mut phase = self.phase.subscribe();
        let reached = |phase: &Option<ClosePhase>| *phase >= Some(wanted);
        // `self` keeps the sender alive, so the wait can't fail.
        drop(phase.wait_for(reached).await);
    }
}
