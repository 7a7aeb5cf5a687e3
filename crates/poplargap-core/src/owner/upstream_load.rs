//! Load and health of one upstream, as its shard's owner tracks them.

use {
    crate::{
        catalogue::{UpstreamEntry, UpstreamState},
        instant::MonotonicInstant,
    },
    std::{sync::Arc, time::Duration},
};

const BACKOFF_MIN: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(4);
const BACKOFF_STEPS_MAX: u32 = 8;

/// Health of an upstream: consecutive failures and the backoff that they cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamHealth {
    failures: u32,
    retry_at: Option<MonotonicInstant>,
}

impl UpstreamHealth {
    /// Records a failure and doubles the backoff, from 250 ms up to 4 s.
    pub fn record_failure(&mut self, now: MonotonicInstant) {
        let backoff = BACKOFF_MIN * 2_u32.pow(self.failures.min(BACKOFF_STEPS_MAX));
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + backoff.min(BACKOFF_MAX));
    }

    /// Returns whether the upstream is not in backoff.
    #[must_use]
    pub fn is_healthy(&self, now: MonotonicInstant) -> bool {
        self.retry_at.is_none_or(|retry_at| retry_at <= now)
    }

    /// Records an answer, which ends the backoff.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}

/// Load and state of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamLoad {
    /// Requests of former owners, according to the upstream's own report at the takeover or later.
    pub inherited: u64,
    /// The upstream's catalogue entry.
    pub entry: Arc<UpstreamEntry>,
    /// Requests that former owners report to still have in flight here.
    pub residual: u64,
    /// Whether the upstream answers, by the results of recent requests.
    pub health: UpstreamHealth,
    /// Requests in flight that this owner placed here.
    pub in_flight: u64,
    /// Whether the platform reported that the upstream is leaving, or the entry was removed from
    /// the catalogue.
    pub leaving: bool,
    /// Whether the entry was removed from the catalogue.
    pub removed: bool,
    /// Requests in flight according to the upstream's own last report.
    pub reported: u64,
}

impl UpstreamLoad {
    /// Creates the load of an idle, healthy upstream.
    #[must_use]
    pub fn new(entry: Arc<UpstreamEntry>) -> Self {
        Self {
            inherited: 0,
            entry,
            residual: 0,
            health: UpstreamHealth::default(),
            in_flight: 0,
            leaving: false,
            removed: false,
            reported: 0,
        }
    }

    /// Returns whether the upstream accepts new requests.
    #[must_use]
    pub fn is_available(&self, now: MonotonicInstant) -> bool {
        self.is_serving() && self.health.is_healthy(now)
    }

    /// Returns whether the upstream is neither draining, leaving nor removed.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.entry.state == UpstreamState::Serving && !self.leaving && !self.removed
    }

    /// Returns the requests in flight that count against the load bound.
    ///
    /// Former owners' reports and the upstream's own report count the same requests, so the larger
    /// number applies.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.in_flight + self.residual.max(self.inherited)
    }
}
