//! Faults of a link.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults of a link; the default is a link without any.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LinkFaults {
    /// Whether open connections are reset and new ones refused.
    pub cut: bool,
    /// Delay each way, in milliseconds.
    pub delay_ms: u64,
    /// Seed of the choice of stalled chunks, for connections accepted from now on.
    pub seed: u64,
    /// Further delay of a stalled chunk, in milliseconds.
    pub stall_ms: u64,
    /// Share of chunks that stall, in percent, as lost packets make TCP do.
    pub stall_percent: u8,
}

impl LinkFaults {
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    pub(super) fn stall(&self) -> Duration {
        Duration::from_millis(self.stall_ms)
    }
}
