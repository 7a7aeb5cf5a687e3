//! Events of a prefix cache, published late.

use {
    super::CacheChange,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Events that are kept for readers.
const EVENTS_MAX: usize = 4096;

/// One change of a prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheEvent {
    /// Blocks that were evicted.
    pub removed: Vec<u64>,
    /// Number of the event; a jump means that events were lost.
    pub seq: u64,
    /// Blocks that were added.
    pub stored: Vec<u64>,
}

/// Answer to a read of cache events.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheEvents {
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// The last events of a cache.
#[derive(Debug)]
pub(super) struct CacheLog {
    events: VecDeque<(Instant, CacheEvent)>,
    lag: Duration,
    last_seq: u64,
}

impl CacheLog {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            events: VecDeque::new(),
            lag,
            last_seq: 0,
        }
    }

    /// Returns the events after `seq` that are old enough to be seen.
    pub(super) fn after(&self, seq: u64, now: Instant) -> CacheEvents {
        let events = self
            .events
            .iter()
            .filter(|(at, event)| event.seq > seq && *at + self.lag <= now)
            .map(|(_, event)| event.clone())
            .collect();
        CacheEvents { events }
    }

    /// Adds a change; a lost one takes a number without an event.
    pub(super) fn push(&mut self, change: CacheChange, lost: bool, now: Instant) {
        if change.is_empty() {
            return;
        }
        self.last_seq += 1;
        if lost {
            return;
        }
        let event = CacheEvent {
            removed: change.removed,
            seq: self.last_seq,
            stored: change.stored,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}
