//! Monotonic time, passed to the state machines as an argument.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// A reading of the process's monotonic clock, in nanoseconds since an arbitrary start.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MonotonicInstant(u64);

impl MonotonicInstant {
    /// Creates the instant `elapsed` after the clock's start.
    #[must_use]
    pub fn from_start(elapsed: Duration) -> Self {
        Self(u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX))
    }

    /// Returns the time from `earlier` to `self`, or zero when `earlier` is after `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicInstant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let nanos = u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

impl Sub<Duration> for MonotonicInstant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let nanos = u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanos))
    }
}
