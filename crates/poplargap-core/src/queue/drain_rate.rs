//! The rate at which a queue is drained.

use {super::WorkCost, crate::instant::MonotonicInstant, std::time::Duration};

/// Time after which an observation counts a third.
const MEMORY: Duration = Duration::from_secs(10);

/// Least time under observation before there is an estimate.
const BUSY_MIN: Duration = Duration::from_secs(1);

/// Departure rate of a queue while it isn't empty, in cost units a second.
///
/// While work waits the upstreams are saturated, so the departure rate stands for their rate of
/// service (Gotin et al., 2019, section 4.3). Departures from an empty queue say nothing about it.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    busy_secs: f64,
    served_units: f64,
    updated: MonotonicInstant,
}

impl DrainRate {
    /// Starts an observation at `now`.
    #[must_use]
    pub fn new(now: MonotonicInstant) -> Self {
        Self {
            updated: now,
            ..Self::default()
        }
    }

    /// Moves to `now`; `busy` says whether work waited since the last call.
    pub fn advance(&mut self, now: MonotonicInstant, busy: bool) {
        if !busy {
            self.updated = now;
            return;
        }
        let elapsed = now.since(self.updated).as_secs_f64();
        let decay = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.busy_secs = self.busy_secs * decay + elapsed;
        self.served_units *= decay;
        self.updated = self.updated.max(now);
    }

    /// Counts an item that left the queue for service.
    pub fn record(&mut self, cost: WorkCost) {
        self.served_units += cost.units() as f64;
    }

    /// Returns the estimate in units a second, or `None` while too little was seen.
    ///
    /// One departure more than was seen is assumed, so that a queue in front of slow upstreams
    /// isn't taken for a dead one between two departures.
    #[must_use]
    pub fn units_per_second(&self) -> Option<f64> {
        if self.busy_secs < BUSY_MIN.as_secs_f64() {
            return None;
        }
        Some((self.served_units + 1.0) / self.busy_secs)
    }

    /// Returns the expected time to drain `units`, or `None` while too little was seen.
    #[must_use]
    pub fn drain_time(&self, units: u64) -> Option<Duration> {
        let seconds = units as f64 / self.units_per_second()?;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
