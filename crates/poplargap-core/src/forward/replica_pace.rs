use {
    crate::instant::MonotonicInstant,
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Least and greatest pace that is taken for true, in percent of the usual time.
const PACE_RANGE_PERCENT: std::ops::RangeInclusive<u64> = 25..=1_000;

/// The usual pace in percent.
const USUAL_PERCENT: f64 = 100.0;

/// Time in which what a replica stated last loses most of its weight.
///
/// Machines that are shared with others change their pace within a second.
const PACE_DECAY: Duration = Duration::from_millis(600);

/// Time in which the smoothed pace follows a lasting change.
const SMOOTHING_TIME: Duration = Duration::from_secs(4);

/// How long a replica's work takes at the moment, in percent of the usual time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", try_from = "u64", into = "u64")]
pub struct ReplicaPace(u16);

/// A pace that can't be true.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PaceError {
    /// the pace {0} percent is out of range
    OutOfRange(u64),
}

impl std::error::Error for PaceError {}

impl TryFrom<u64> for ReplicaPace {
    type Error = PaceError;

    fn try_from(percent: u64) -> Result<Self, PaceError> {
        let pace = u16::try_from(percent).ok();
        pace.filter(|_| PACE_RANGE_PERCENT.contains(&percent))
            .map(Self)
            .ok_or(PaceError::OutOfRange(percent))
    }
}

impl From<ReplicaPace> for u64 {
    fn from(pace: ReplicaPace) -> Self {
        pace.0.into()
    }
}

impl ReplicaPace {
    /// Returns the factor on the usual time.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / USUAL_PERCENT
    }
}

/// The pace of a replica as of the last statements.
#[derive(Clone, Copy, Debug)]
pub struct PaceEstimate {
    at: MonotonicInstant,
    last: ReplicaPace,
    smoothed: f64,
}

impl PaceEstimate {
    /// Creates the estimate after the first statement, which was made at `at`.
    #[must_use]
    pub fn new(pace: ReplicaPace, at: MonotonicInstant) -> Self {
        Self {
            at,
            last: pace,
            smoothed: pace.factor(),
        }
    }

    /// Adds a later statement.
    #[must_use]
    pub fn updated(self, pace: ReplicaPace, at: MonotonicInstant) -> Self {
        let passed = at.since(self.at);
        let kept = decay(passed, SMOOTHING_TIME);
        // Between two statements the pace is taken to have been the mean of both.
        let between = f64::midpoint(self.last.factor(), pace.factor());
        Self {
            at,
            last: pace,
            smoothed: self.smoothed * kept + between * (1.0 - kept),
        }
    }

    /// Returns the expected factor on the usual time at `now`: the last statement, which decays to
    /// the smoothed pace.
    #[must_use]
    pub fn factor(&self, now: MonotonicInstant) -> f64 {
        let weight = decay(now.since(self.at), PACE_DECAY);
        self.smoothed + (self.last.factor() - self.smoothed) * weight
    }

    /// Returns the factor on the usual time without short changes.
    #[must_use]
    pub fn lasting_factor(&self) -> f64 {
        self.smoothed
    }

    /// Returns the age of the last statement.
    #[must_use]
    pub fn age(&self, now: MonotonicInstant) -> Duration {
        now.since(self.at)
    }
}

/// Returns the weight that is left after `age`, which falls exponentially from 1.
pub(super) fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64()).exp()
}
