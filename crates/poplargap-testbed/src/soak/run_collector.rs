//! Collects what the tasks of a soak report.

use {
    super::{FaultWindow, SoakCall, Violation},
    tokio::sync::mpsc,
};

/// What a task of a soak reports.
#[derive(Debug)]
pub(super) enum SoakEvent {
    Call(Box<SoakCall>),
    Violation(Violation),
    Window(FaultWindow),
}

/// All that was reported.
#[derive(Debug, Default)]
pub(super) struct RunCollector {
    pub(super) calls: Vec<SoakCall>,
    pub(super) violations: Vec<Violation>,
    pub(super) windows: Vec<FaultWindow>,
}

impl RunCollector {
    /// Collects until all reporters are gone.
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
