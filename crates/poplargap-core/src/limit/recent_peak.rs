//! The highest use of the recent past.

use {super::Allowance, crate::instant::MonotonicInstant, std::time::Duration};

/// Time after which a peak is half forgotten; it is gone after twice this time.
const PEAK_PERIOD: Duration = Duration::from_secs(30);

/// Highest use in the present and the last period.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentPeak {
    began: MonotonicInstant,
    last: Allowance,
    present: Allowance,
}

impl RecentPeak {
    /// Notes a use at `now`.
    pub fn note(&mut self, used: Allowance, now: MonotonicInstant) {
        self.advance(now);
        self.present = self.present.max(used);
    }

    /// Returns the highest use.
    pub fn highest(&mut self, now: MonotonicInstant) -> Allowance {
        self.advance(now);
        self.present.max(self.last)
    }

    fn advance(&mut self, now: MonotonicInstant) {
        let age = now.since(self.began);
        if age < PEAK_PERIOD {
            return;
        }
        self.last = if age < 2 * PEAK_PERIOD {
            self.present
        } else {
            Allowance::ZERO
        };
        self.present = Allowance::ZERO;
        self.began = now;
    }
}
