//! What the faults in force do to one call.

use std::time::Duration;

/// What the faults in force do to one call.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallFate {
    /// The call takes effect after a delay, and its answer may be lost.
    Apply { delay: Duration, drop_answer: bool },
    /// The call has no effect and is refused.
    Refuse,
}
