//! Time window of one fault.

use {super::FaultKind, std::time::Duration};

/// Time window of one fault.
#[derive(Clone, Debug)]
pub struct FaultWindow {
    /// Begin of the fault, since the start of the soak.
    pub begin: Duration,
    /// Number of the affected daemon, if the fault affects a single one.
    pub daemon: Option<usize>,
    /// End of the fault, since the start of the soak.
    pub end: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
}

impl FaultWindow {
    /// Returns whether the fault, prolonged by `recovery`, overlaps the time from `begin` to `end`.
    #[must_use]
    pub fn overlaps(&self, begin: Duration, end: Duration, recovery: Duration) -> bool {
        self.begin <= end && begin <= self.end + recovery
    }
}
