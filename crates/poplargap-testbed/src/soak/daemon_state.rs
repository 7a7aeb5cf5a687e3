//! What the soak does with one daemon's process.

/// What the soak does with one daemon's process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct DaemonState {
    /// Starts of the process so far.
    pub(super) generation: u32,
    /// Whether the process should run and answer.
    pub(super) steady: bool,
}
