//! A token bucket that limits the rate of calls.

use {
    std::{num::NonZeroU32, sync::Arc, time::Duration},
    tokio::{
        sync::Mutex,
        time::{Instant, sleep},
    },
};

/// Rate limit on calls: a steady rate and a burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallRate {
    /// Calls that may start at once after an idle period.
    pub burst: NonZeroU32,
    /// Calls per second in the long run.
    pub per_second: NonZeroU32,
}

/// A token bucket; calls wait in order of arrival.
///
/// Clones share one bucket. A call that is abandoned while it waits takes no token, so that it
/// doesn't lengthen the wait of later calls.
#[derive(Clone, Debug)]
pub struct CallBucket {
    burst_span: Duration,
    full_at: Arc<Mutex<Instant>>,
    interval: Duration,
}

impl CallBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate: CallRate) -> Self {
        let interval = Duration::from_secs(1) / rate.per_second.get();
        Self {
            burst_span: interval * rate.burst.get(),
            full_at: Arc::new(Mutex::new(Instant::now())),
            interval,
        }
    }

    /// Waits until a token is available and takes it.
    pub async fn take(&self) {
        let mut full_at = self.full_at.lock().await;
        let now = Instant::now();
        let next_full_at = (*full_at).max(now) + self.interval;
        let wait = next_full_at.saturating_duration_since(now + self.burst_span);
        if !wait.is_zero() {
            sleep(wait).await;
        }
        *full_at = next_full_at;
    }
}
