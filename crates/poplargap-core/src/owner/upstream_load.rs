//! Load and health of one upstream at its home.

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

/// Whether an upstream answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamHealth {
    failures: u32,
    retry_at: Option<MonotonicInstant>,
}

impl UpstreamHealth {
    /// Notes a failure and doubles the time without work, from 250 ms to 4 s.
    pub fn record_failure(&mut self, now: MonotonicInstant) {
        let backoff = BACKOFF_MIN * 2_u32.pow(self.failures.min(BACKOFF_STEPS_MAX));
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + backoff.min(BACKOFF_MAX));
    }

    /// Returns whether the upstream may get work.
    #[must_use]
    pub fn is_healthy(&self, now: MonotonicInstant) -> bool {
        self.retry_at.is_none_or(|retry_at| retry_at <= now)
    }

    /// Notes an answer.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }
}

/// What the home knows of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamLoad {
    /// Requests that the upstream reported at the takeover beside the home's own.
    pub inherited: u64,
    /// The catalogue's entry.
    pub entry: Arc<UpstreamEntry>,
    /// Requests at the upstream that a former home says it still has there.
    pub residual: u64,
    /// Whether the upstream answers.
    pub health: UpstreamHealth,
    /// Requests that this home sent and that have not ended.
    pub in_flight: u64,
    /// Whether the upstream or the platform said that it is leaving.
    pub leaving: bool,
    /// Whether the entry left the catalogue.
    pub removed: bool,
    /// Requests at the upstream by its own last report.
    pub reported: u64,
}

impl UpstreamLoad {
    /// Creates the record of an upstream without load.
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

    /// Returns whether the upstream may get new work.
    #[must_use]
    pub fn is_available(&self, now: MonotonicInstant) -> bool {
        self.is_serving() && self.health.is_healthy(now)
    }

    /// Returns whether the upstream is neither draining nor leaving.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.entry.state == UpstreamState::Serving && !self.leaving && !self.removed
    }

    /// Returns all requests that count against the bound.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.in_flight + self.residual.max(self.inherited)
    }
}
