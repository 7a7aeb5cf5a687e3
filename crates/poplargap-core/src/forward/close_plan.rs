use std::time::Duration;

/// Time for which new requests are accepted: until the platform routes no new connections to a daemon
/// that isn't ready, and less than the 3 s after which callers may expect a request to end within
/// the grace period.
const DEREGISTRATION_TIME: Duration = Duration::from_millis(2_850);

/// Time before the end of the grace period at which open requests are aborted.
const END_MARGIN: Duration = Duration::from_millis(350);

/// Time before that at which requests without a reply are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// The phases of a daemon's graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ClosePhase {
    /// New requests are still accepted; answers ask callers to close their connections.
    Announcing,
    /// New requests are refused; open ones continue.
    Finishing,
    /// Requests without a reply are answered as lost.
    Expiring,
    /// The process exits.
    Ended,
}

/// The timing of a graceful shutdown within the platform's grace period.
#[derive(Clone, Copy, Debug)]
pub struct ClosePlan {
    grace: Duration,
}

impl ClosePlan {
    /// Plans a shutdown that ends before `grace` has elapsed.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self { grace }
    }

    /// Returns the phase at `elapsed` after the signal, with `open_connections` still open.
    #[must_use]
    pub fn phase(&self, elapsed: Duration, open_connections: usize) -> ClosePhase {
        let announcing = DEREGISTRATION_TIME.min(self.grace / 2);
        if elapsed >= self.grace.saturating_sub(END_MARGIN) {
            return ClosePhase::Ended;
        }
        if elapsed < announcing {
            return ClosePhase::Announcing;
        }
        if open_connections == 0 && elapsed >= announcing + END_MARGIN {
            return ClosePhase::Ended;
        }
        if elapsed >= self.grace.saturating_sub(END_MARGIN + ANSWER_MARGIN) {
            return ClosePhase::Expiring;
        }
        ClosePhase::Finishing
    }
}
