//! Collector of the events of a soak.

use {
    super::{FaultWindow, SoakCall, Violation},
    tokio::sync::mpsc,
};

/// Event reported by a task of a soak.
#[derive(Debug)]
pub(super) enum SoakEvent {
    Call(Box<SoakCall>),
    Violation(Violation),
    Window(FaultWindow),
}

/// Collector of all events of a run.
#[derive(Debug, Default)]
pub(super) struct RunCollector {
    pub(super) calls: Vec<SoakCall>,
    pub(super) violations: Vec<Violation>,
    pub(super) windows: Vec<FaultWindow>,
}

impl RunCollector {
    /// Collects events until all senders are dropped.
    pub(super) async fn run(mut self, mut events: mpsc::UnboundedReceiver<SoakEvent>) -> Self {
        while let Some(event) = events.recv().await {
            match event {
                SoakEvent::Call(call) => self.calls.push(*call),
                SoakEvent::Violation(violation) => {
                    println!("{violation}");
                    self.violations.push(violation);
                }
                SoakEvent::Window(window) => self.windows.push(window),
            }
        }
        self
    }
}
