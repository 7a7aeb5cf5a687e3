//! Faults that a relay injects into its link.

use {
    rand::Rng,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Faults of a link; the default has none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LinkFaults {
    /// Bandwidth of each connection in each direction, in bytes a second; 0 for no limit.
    pub bytes_per_s: u64,
    /// Whether open connections are reset and new ones refused, and datagrams dropped.
    pub cut: bool,
    /// Delay in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Probability of a loss, in percent: a datagram is dropped, a chunk of a connection stalls.
    pub loss_percent: u8,
    /// Seed of the losses, for connections and senders that appear after it is set.
    pub seed: u64,
    /// Additional delay of a stalled chunk, in milliseconds; it stands for a retransmission.
    pub stall_ms: u64,
}

impl LinkFaults {
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    /// Draws whether the next datagram or chunk is lost.
    pub(super) fn draw_loss(&self, rng: &mut impl Rng) -> bool {
        rng.random_range(0..100) < self.loss_percent
    }

    /// Returns the time that the transfer of a chunk of `len` bytes takes.
    pub(super) fn transfer(&self, len: usize) -> Duration {
        if self.bytes_per_s == 0 {
            return Duration::ZERO;
        }
        let micros = len as u64 * 1_000_000 / self.bytes_per_s;
        Duration::from_micros(micros)
    }

    pub(super) fn stall(&self) -> Duration {
        Duration::from_millis(self.stall_ms)
    }
}
