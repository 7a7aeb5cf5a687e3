//! A limit on retries, so that they don't amplify an overload.

use {
    crate::{instant::MonotonicInstant, limit::UsageWindow},
    std::time::Duration,
};

/// Retries allowed in a window, in percent of its requests and in addition to the floor.
pub const RETRY_SHARE_PERCENT: u64 = 10;

/// Retries per second that are allowed regardless of the number of requests.
pub const RETRY_FLOOR_PER_SECOND: u64 = 1;

const WINDOW: Duration = Duration::from_secs(10);

/// Limits retries to a share of the requests in a sliding window of 10 s, plus a small floor.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    requests: UsageWindow,
    retries: UsageWindow,
}

impl RetryBudget {
    /// Creates a budget without requests, which allows only the floor.
    #[must_use]
    pub fn new() -> Self {
        Self {
            requests: UsageWindow::new(WINDOW),
            retries: UsageWindow::new(WINDOW),
        }
    }

    /// Counts the first attempt at a request.
    pub fn count_request(&mut self, now: MonotonicInstant) {
        self.requests.record(1, now);
    }

    /// Uses up one retry and returns whether the budget allows it.
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
