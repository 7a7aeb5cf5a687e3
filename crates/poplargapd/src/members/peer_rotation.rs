//! Which peers the next heartbeat goes to.

use std::{net::SocketAddr, time::Duration};

/// Peers that one tick's heartbeat goes to; with more of them, peers take turns.
const PEERS_PER_TICK_MAX: usize = 5;

/// Turns that a peer may miss before it counts as dead.
const TURNS_MISSED_MAX: u32 = 3;

/// Sends heartbeats to some peers at each tick, so that their traffic stays bounded.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRotation {
    turn: usize,
}

impl PeerRotation {
    /// Returns the addresses of the next tick; each of `addresses` comes once in a round of ticks.
    pub fn next(&mut self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let ticks = ticks_of(addresses.len());
        self.turn = (self.turn + 1) % ticks;
        addresses
            .iter()
            .skip(self.turn)
            .step_by(ticks)
            .copied()
            .collect()
    }

    /// Returns the silence after which one of `peers` peers counts as dead.
    ///
    /// It is `suspect` while every peer hears each heartbeat, sent every `interval`.
    #[must_use]
    pub fn suspect_timeout(interval: Duration, suspect: Duration, peers: usize) -> Duration {
        let ticks = u32::try_from(ticks_of(peers)).unwrap_or(u32::MAX);
        if ticks == 1 {
            return suspect;
        }
        let round = interval.saturating_mul(ticks);
        suspect.max(round.saturating_mul(TURNS_MISSED_MAX))
    }
}

/// Returns the ticks in which every peer gets one heartbeat.
fn ticks_of(peers: usize) -> usize {
    peers.div_ceil(PEERS_PER_TICK_MAX).max(1)
}
