//! Effect of the active faults on one call.

use std::time::Duration;

/// Effect of the active faults on one call.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallEffect {
    /// The call takes effect after a delay, and its answer may be dropped.
    Apply { delay: Duration, drop_answer: bool },
    /// The call is refused with status 503 and has no effect.
    Refuse,
}
