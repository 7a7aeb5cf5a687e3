//! Estimate of the rate at which a queue is drained.

use {super::WorkCost, crate::instant::MonotonicInstant, std::time::Duration};

/// Time constant of the exponential decay of observations.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Shortest busy time that gives an estimate.
const BUSY_TIME_MIN: Duration = Duration::from_secs(1);

/// Departure rate of a queue while it isn't empty, in cost units per second.
///
/// While items wait, the upstreams are saturated, so the departure rate equals their service rate
/// (Gotin et al., 2019, section 4.3). Departures from an empty queue give no information about it.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    busy_secs: f64,
    served_units: f64,
    updated: MonotonicInstant,
}

impl DrainRate {
    /// Creates an estimate without observations; the first one starts at `now`.
    #[must_use]
    pub fn new(now: MonotonicInstant) -> Self {
        Self {
            updated: now,
            ..Self::default()
        }
    }

    /// Advances the observation to `now`; `busy` is whether items were waiting since the last call.
    pub fn advance(&mut self, now: MonotonicInstant, busy: bool) {
        if !busy {
            self.updated = now;
            return;
        }
        let elapsed = now.since(self.updated).as_secs_f64();
        let decay = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.busy_secs = self.busy_secs * decay + elapsed;
        self.served_units *= decay;
        self.updated = self.updated.max(now);
    }

    /// Records an item that left the queue to be served.
    pub fn record(&mut self, cost: WorkCost) {
        self.served_units += cost.units() as f64;
    }

    /// Returns the estimate in units per second, or `None` with too few observations.
    ///
    /// One unit is added to the observed departures, so that a queue for slow upstreams has a rate
    /// above zero between two departures.
    #[must_use]
    pub fn units_per_second(&self) -> Option<f64> {
        if self.busy_secs < BUSY_TIME_MIN.as_secs_f64() {
            return None;
        }
        Some((self.served_units + 1.0) / self.busy_secs)
    }

    /// Returns the expected time to drain `units`, or `None` with too few observations.
    #[must_use]
    pub fn drain_time(&self, units: u64) -> Option<Duration> {
        let seconds = units as f64 / self.units_per_second()?;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}
