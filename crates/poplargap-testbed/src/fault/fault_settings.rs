//! The faults that are on.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults of one stand-in; the default has none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched by itself"
)]
pub struct FaultSettings {
    /// Wait before each request is looked at, in milliseconds.
    pub delay_ms: u64,
    /// Runs each request, then cuts its connection without an answer.
    pub drop_answer: bool,
    /// Loses the cache events of this time.
    pub gap: bool,
    /// Answers each request with 503 and runs nothing.
    pub refuse: bool,
    /// Refuses new connections; those open go on.
    pub refuse_connections: bool,
    /// Silences the connections open now for good; new ones work.
    pub silent: bool,
    /// Cuts each stream after this number of events.
    pub stop_after_events: Option<u64>,
}

impl FaultSettings {
    /// Returns the wait before each request.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
