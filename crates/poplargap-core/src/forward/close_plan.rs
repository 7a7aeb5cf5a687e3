use std::time::Duration;

/// Time after which the platform sends no new connections to a daemon that isn't ready.
const ROTATION_TIME: Duration = Duration::from_secs(3);

/// Time before the end in which open answers are given up.
const END_MARGIN: Duration = Duration::from_millis(350);

/// Where a closing daemon stands.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ClosePhase {
    /// Callers may still come; answers ask them to leave.
    Announcing,
    /// New requests are refused; open ones go on.
    Finishing,
    /// The process ends.
    Ended,
}

/// The course of a close within the platform's grace.
#[derive(Clone, Copy, Debug)]
pub struct ClosePlan {
    grace: Duration,
}

impl ClosePlan {
    /// Plans a close that ends before `grace`.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Returns the phase `elapsed` after the signal with `in_flight` open requests.
    #[must_use]
    pub fn phase(&self, elapsed: Duration, in_flight: usize) -> ClosePhase {
        let announcing = ROTATION_TIME.min(self.grace / 2);
        if elapsed >= self.grace.saturating_sub(END_MARGIN) {
            return ClosePhase::Ended;
        }
        if elapsed < announcing {
            return ClosePhase::Announcing;
        }
        if in_flight == 0 && elapsed >= announcing + END_MARGIN {
            return ClosePhase::Ended;
        }
        ClosePhase::Finishing
    }
}
