//! Faults of an upstream stand-in.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults of one upstream stand-in; the default has none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is set independently"
)]
pub struct FaultSettings {
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
    /// Executes each request, then cuts its connection without an answer.
    pub drop_answer: bool,
    /// Drops the cache events that arise while it is set; their sequence numbers are skipped.
    pub gap: bool,
    /// Answers each request with 503 without executing it.
    pub refuse: bool,
    /// Refuses new connections; open ones continue.
    pub refuse_connections: bool,
    /// Permanently silences the connections that are open when it is set; later ones work.
    pub silent: bool,
    /// Cuts the connection of each streamed answer after this number of events.
    pub stop_after_events: Option<u64>,
}

impl FaultSettings {
    /// Returns the delay before each request is processed.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
