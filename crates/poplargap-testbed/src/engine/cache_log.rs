//! Log of prefix cache events, published with a delay.

use {
    super::CacheChange,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Number of latest events kept for readers.
const EVENTS_MAX: usize = 4096;

/// One change to a prefix cache; blocks are given by the hash of their whole prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheEvent {
    /// Blocks that were evicted.
    pub removed: Vec<u64>,
    /// Sequence number, starting at 1; a skipped number means that an event was lost.
    pub seq: u64,
    /// Blocks that were added.
    pub stored: Vec<u64>,
}

/// JSON body of the answer to `GET /cache-events`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CacheEvents {
    /// Published events, ordered by sequence number.
    pub events: Vec<CacheEvent>,
}

/// The latest events of a cache, with the time of each.
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

    /// Returns the events after `seq` that are at least `lag` old.
    pub(super) fn after(&self, seq: u64, now: Instant) -> CacheEvents {
        let events = self
            .events
            .iter()
            .filter(|(at, event)| event.seq > seq && *at + self.lag <= now)
            .map(|(_, event)| event.clone())
            .collect();
        CacheEvents { events }
    }

    /// Appends a change; if it is `lost`, only its sequence number is used up.
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
