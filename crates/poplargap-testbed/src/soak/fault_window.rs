//! The time of one fault.

use {super::FaultKind, std::time::Duration};

/// One fault with its begin and end.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// Begin, since the start.
    pub begin: Duration,
    /// Number of the daemon, when one daemon is hit.
    pub daemon: Option<usize>,
    /// End, since the start.
    pub end: Duration,
    /// The kind.
    pub kind: FaultKind,
}

impl FaultWindow {
    /// Returns whether the fault or the time of recovery after it meets a time.
    #[must_use]
    pub fn meets(&self, begin: Duration, end: Duration, recovery: Duration) -> bool {
        self.begin <= end && begin <= self.end + recovery
    }
}
