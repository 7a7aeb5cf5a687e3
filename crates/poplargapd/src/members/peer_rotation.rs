//! Rotation of heartbeats through the peers.

use std::{net::SocketAddr, time::Duration};

/// Most peers that get the heartbeat of one tick.
const PEERS_PER_TICK_MAX: usize = 5;

/// Rounds without a heartbeat after which a peer counts as dead.
const ROUNDS_MISSED_MAX: u32 = 3;

/// Selects some of the peers for each tick's heartbeat, so that the traffic stays bounded.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRotation {
    tick: usize,
}

impl PeerRotation {
    /// Returns the addresses for the next tick; a round of ticks covers each of `addresses` once.
    pub fn next(&mut self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let ticks = ticks_per_round(addresses.len());
        self.tick = (self.tick + 1) % ticks;
        addresses
            .iter()
            .skip(self.tick)
            .step_by(ticks)
            .copied()
            .collect()
    }

    /// Returns the time without heartbeats after which one of `peers` peers counts as dead.
    ///
    /// This is `suspect` while every peer gets every heartbeat; otherwise it is at least
    /// `ROUNDS_MISSED_MAX` rounds of ticks, one tick each `interval`.
    #[must_use]
    pub fn suspect_timeout(interval: Duration, suspect: Duration, peers: usize) -> Duration {
        let ticks = u32::try_from(ticks_per_round(peers)).unwrap_or(u32::MAX);
        if ticks == 1 {
            return suspect;
        }
        let round = interval.saturating_mul(ticks);
        suspect.max(round.saturating_mul(ROUNDS_MISSED_MAX))
    }
}

/// Returns the ticks of a round, in which every peer gets one heartbeat.
fn ticks_per_round(peers: usize) -> usize {
    peers.div_ceil(PEERS_PER_TICK_MAX).max(1)
}
