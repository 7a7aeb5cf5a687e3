use {
    crate::{instant::MonotonicInstant, limit::UsageWindow},
    std::time::Duration,
};

/// Share of the fleet's retry ratio that a daemon spends, against the unevenness of windows.
const RATIO_SHARE: f64 = 0.8;

/// Retries that a daemon may spend in any window, before it has seen requests.
const FLOOR: u64 = 2;

/// A daemon's part of the fleet's budget for second sends to one service.
///
/// Every daemon spends a ratio of the requests that it saw itself, so the sum over all daemons
/// stays under the ratio of all requests without a message between them.
#[derive(Clone, Debug)]
pub struct ServiceBudget {
    ratio: f64,
    requests: UsageWindow,
    retries: UsageWindow,
}

impl ServiceBudget {
    /// Creates a budget of `ratio` retries a request within `window`.
    #[must_use]
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            requests: UsageWindow::new(window),
            retries: UsageWindow::new(window),
        }
    }

    /// Counts a request of a client.
    pub fn count_request(&mut self, now: MonotonicInstant) {
        self.requests.record(1, now);
    }

    /// Takes one retry and returns whether there was one.
    pub fn take_retry(&mut self, now: MonotonicInstant) -> bool {
        let earned = self.requests.total(now) as f64 * self.ratio * RATIO_SHARE;
        if self.retries.total(now) >= earned as u64 + FLOOR {
            return false;
        }
        self.retries.record(1, now);
        true
    }
}
