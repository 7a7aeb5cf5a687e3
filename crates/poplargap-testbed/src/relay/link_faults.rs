//! Faults of a link.

use {
    rand::Rng,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults of a link; the default is a link without any.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LinkFaults {
    /// Whether open connections are reset and new ones refused, and datagrams dropped.
    pub cut: bool,
    /// Delay each way, in milliseconds.
    pub delay_ms: u64,
    /// Share of losses, in percent: datagrams are dropped, chunks of a connection stall.
    pub loss_percent: u8,
    /// Seed of the losses, for connections and senders that are new from now on.
    pub seed: u64,
    /// Further delay of a stalled chunk, in milliseconds, as for its retransmission.
    pub stall_ms: u64,
}

impl LinkFaults {
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    pub(super) fn draw_loss(&self, rng: &mut impl Rng) -> bool {
        rng.random_range(0..100) < self.loss_percent
    }

    pub(super) fn stall(&self) -> Duration {
        Duration::from_millis(self.stall_ms)
    }
}
