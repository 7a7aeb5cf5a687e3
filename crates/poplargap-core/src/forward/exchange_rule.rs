use {crate::instant::MonotonicInstant, std::time::Duration};

/// Pause between two exchanges of load reports with the peers.
const USUAL_PAUSE: Duration = Duration::from_millis(200);

/// Pause while requests wait at replicas whose requests take much less than a second.
const SHORT_PAUSE: Duration = Duration::from_millis(50);

/// Time since the last report of waiting requests after which the usual pause is enough.
const SHORT_TIME: Duration = Duration::from_millis(500);

/// Decides how often a daemon exchanges load reports with its peers.
///
/// Where requests take some ten milliseconds, a queue fills and empties between two usual exchanges.
/// While requests wait there, daemons that learn of it late send to the same full replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangeRule {
    waiting_at: Option<MonotonicInstant>,
}

impl ExchangeRule {
    /// Records a report, of this daemon or of a peer, that was made at `at`; `waiting` is the number
    /// of requests that wait at a replica that states its pace.
    pub fn record(&mut self, waiting: u32, at: MonotonicInstant) {
        if waiting > 0 {
            self.waiting_at = self.waiting_at.max(Some(at));
        }
    }

    /// Returns the pause until the next exchange.
    #[must_use]
    pub fn pause(&self, now: MonotonicInstant) -> Duration {
        match self.waiting_at {
            Some(at) if now.since(at) < SHORT_TIME => SHORT_PAUSE,
            _ => USUAL_PAUSE,
        }
    }
}
