//! The highest usage of the last 30 to 60 seconds.

use {super::Allowance, crate::instant::MonotonicInstant, std::time::Duration};

/// Length of a period; a peak is dropped after one to two periods.
const PEAK_PERIOD: Duration = Duration::from_secs(30);

/// Highest usage in the current and the previous period.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentPeak {
    began: MonotonicInstant,
    previous: Allowance,
    current: Allowance,
}

impl RecentPeak {
    /// Records the usage at `now`.
    pub fn record(&mut self, used: Allowance, now: MonotonicInstant) {
        self.advance(now);
        self.current = self.current.max(used);
    }

    /// Returns the highest usage of the current and the previous period.
    pub fn highest(&mut self, now: MonotonicInstant) -> Allowance {
        self.advance(now);
        self.current.max(self.previous)
    }

    fn advance(&mut self, now: MonotonicInstant) {
        let age = now.since(self.began);
        if age < PEAK_PERIOD {
            return;
        }
        self.previous = if age < 2 * PEAK_PERIOD {
            self.current
        } else {
            Allowance::ZERO
        };
        self.current = Allowance::ZERO;
        self.began = now;
    }
}
