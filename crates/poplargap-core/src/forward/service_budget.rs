use {
    crate::{instant::MonotonicInstant, limit::UsageWindow},
    std::time::Duration,
};

/// Factor on the fleet's retry ratio; the margin covers the windows' uneven load.
const DAEMON_RATIO_FACTOR: f64 = 0.8;

/// Retries per window that are allowed in addition to the ratio.
const RETRIES_MIN: u64 = 2;

/// A daemon's retry budget for one service.
///
/// Every daemon retries at most a ratio of its own requests, so the fleet stays below that ratio
/// of all requests without coordination.
#[derive(Clone, Debug)]
pub struct ServiceBudget {
    ratio: f64,
    requests: UsageWindow,
    retries: UsageWindow,
}

impl ServiceBudget {
    /// Creates a budget of `ratio` retries per request within `window`.
    #[must_use]
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            requests: UsageWindow::new(window),
            retries: UsageWindow::new(window),
        }
    }

    /// Counts a client's request.
    pub fn count_request(&mut self, now: MonotonicInstant) {
        self.requests.record(1, now);
    }

    /// Takes a retry from the budget; returns `false` if it is exhausted.
    pub fn take_retry(&mut self, now: MonotonicInstant) -> bool {
        let has_retry = self.has_retry(now);
        if has_retry {
            self.retries.record(1, now);
        }
        has_retry
    }

    /// Returns whether a retry is left in the budget.
    pub fn has_retry(&mut self, now: MonotonicInstant) -> bool {
        let earned = self.requests.total(now) as f64 * self.ratio * DAEMON_RATIO_FACTOR;
        self.retries.total(now) < earned as u64 + RETRIES_MIN
    }
}
