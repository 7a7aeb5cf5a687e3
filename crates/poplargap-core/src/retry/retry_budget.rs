//! A cap on retries, so that they can't grow an overload.

use {
    crate::{instant::MonotonicInstant, limit::UsageWindow},
    std::time::Duration,
};

/// Share of the requests of a window that may be retried.
pub const RETRY_SHARE_PERCENT: u64 = 10;

/// Retries that are allowed in any case.
pub const RETRY_FLOOR_PER_SECOND: u64 = 1;

const WINDOW: Duration = Duration::from_secs(10);

/// Allows retries up to a share of the requests in a sliding window, and a small floor.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    requests: UsageWindow,
    retries: UsageWindow,
}

impl RetryBudget {
    /// Creates a budget that has seen no requests.
    #[must_use]
    pub fn new() -> Self {
        Self {
            requests: UsageWindow::new(WINDOW),
            retries: UsageWindow::new(WINDOW),
        }
    }

    /// Counts a first attempt.
    pub fn count_request(&mut self, now: MonotonicInstant) {
        self.requests.record(1, now);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take_retry(&mut self, now: MonotonicInstant) -> bool {
        let share = self.requests.total(now) * RETRY_SHARE_PERCENT / 100;
        let floor = RETRY_FLOOR_PER_SECOND * WINDOW.as_secs();
        if self.retries.total(now) >= share + floor {
            return false;
        }
        self.retries.record(1, now);
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
