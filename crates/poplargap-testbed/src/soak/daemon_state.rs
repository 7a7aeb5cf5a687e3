//! State of one daemon's process during a soak.

/// State of one daemon's process as set by the soak.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct DaemonState {
    /// Number of starts of the process so far.
    pub(super) generation: u32,
    /// Whether no fault keeps the process from running and answering.
    pub(super) should_answer: bool,
}
