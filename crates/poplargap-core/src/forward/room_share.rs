use {crate::instant::MonotonicInstant, std::time::Duration};

/// Requests for each slot that should wait at the replicas under more load than they bear: enough
/// that no slot is idle, and few enough that what is sent is in time.
const QUEUE_TARGET: f64 = 1.2;

/// Change of the estimated rate within a second for each request for a slot too many or too few.
const GAIN_PER_SECOND: f64 = 1.2;

/// Least and greatest estimate, as factors on the rate that follows from slots and work.
const RATE_RANGE: (f64, f64) = (0.4, 3.0);

/// Longest time that one update covers.
const STEP_MAX: Duration = Duration::from_millis(500);

/// The rate that a service's replicas bear, as one daemon estimates it.
///
/// Daemons learn of full queues some hundred milliseconds late. If they sent until the queues are
/// full, they would overshoot by what arrives in that time. Instead each daemon sends the same share
/// of its requests: the rate that the replicas bear, divided by the demand of all daemons. The rate
/// follows the queues slowly: it falls while more requests wait than should, and rises while fewer
/// do although requests are held back.
#[derive(Clone, Copy, Debug)]
pub struct RoomShare {
    factor: f64,
    updated: MonotonicInstant,
}

impl RoomShare {
    /// Creates the estimate at `now`; the rate is that of slots and work.
    #[must_use]
    pub fn new(now: MonotonicInstant) -> Self {
        Self {
            factor: 1.0,
            updated: now,
        }
    }

    /// Updates the estimate and returns the share of the requests that the replicas bear, up to 1.
    ///
    /// `nominal` is the rate a second that follows from slots and work, `demand` that of all daemons'
    /// requests, and `queue` the number of requests for each slot that wait at the replicas.
    pub fn update(&mut self, nominal: f64, demand: f64, queue: f64, now: MonotonicInstant) -> f64 {
        let passed = now.since(self.updated).min(STEP_MAX).as_secs_f64();
        self.updated = now;
        let missing = (QUEUE_TARGET - queue).clamp(-1.0, 1.0);
        let holds_back = nominal * self.factor < demand;
        if missing < 0.0 || holds_back {
            self.factor *= (GAIN_PER_SECOND * missing * passed).exp();
        } else {
            // Without demand that is held back, nothing shows that the estimate is wrong.
            self.factor += (1.0 - self.factor).max(0.0) * passed;
        }
        self.factor = self.factor.clamp(RATE_RANGE.0, RATE_RANGE.1);
        if demand > 0.0 {
            (nominal * self.factor / demand).min(1.0)
        } else {
            1.0
        }
    }
}
