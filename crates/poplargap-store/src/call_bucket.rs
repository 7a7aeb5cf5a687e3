//! A token bucket that bounds calls a second.

use {
    std::{num::NonZeroU32, sync::Arc, time::Duration},
    tokio::{
        sync::Mutex,
        time::{Instant, sleep},
    },
};

/// Bound on calls: a steady rate and a burst on top of an idle spell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallRate {
    /// Calls that may start at once after an idle spell.
    pub burst: NonZeroU32,
    /// Calls a second in the long run.
    pub per_second: NonZeroU32,
}

/// A token bucket; calls wait for their turn in the order of their arrival.
///
/// Clones share one bucket. A caller that stops waiting takes no token, so that abandoned
/// calls don't lengthen the wait of those behind them.
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

    /// Waits for one token and takes it.
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
