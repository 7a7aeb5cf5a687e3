//! Decides which daemons of a data centre read the store, and from which one the others read.
//!
//! All daemons of a data centre that see the same announcements choose the same readers, by
//! rendezvous hashing of their addresses. No message or leader is needed: a daemon whose readers
//! fail reads the store itself.

use {
    super::{PeerView, rendezvous},
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::{cmp::Reverse, net::SocketAddr, time::Duration},
    strum::IntoStaticStr,
};

/// Fewest daemons of a data centre for which a few read the store for the others.
const SHARED_DAEMONS_MIN: usize = 4;

/// Number of daemons of a data centre that read the store for the others.
const READERS_PER_CENTRE: usize = 2;

/// Time for which a reader isn't asked after its first failure; it doubles with each further one.
const FAILURE_PAUSE_MIN: Duration = Duration::from_secs(2);

/// Longest time for which a failed reader isn't asked.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(16);

/// Seed of the order in which daemons become readers.
const READER_SEED: u64 = 0;

/// Where a daemon reads the changes of the store.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum ReadSource {
    /// From the daemon at this address, which reads the store.
    Daemon(SocketAddr),
    /// From the store, for itself only.
    Store,
    /// From the store, for itself and for the other daemons of its data centre.
    StoreForOthers,
}

impl ReadSource {
    /// Returns the daemon that is read from, if any.
    #[must_use]
    pub fn reader(&self) -> Option<SocketAddr> {
        match self {
            Self::Daemon(address) => Some(*address),
            Self::Store | Self::StoreForOthers => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ReaderFailure {
    pause: Duration,
    until: MonotonicInstant,
}

/// The choice of one daemon's read source.
#[derive(Debug)]
pub struct ReaderRule {
    data_centre: String,
    failures: HashMap<SocketAddr, ReaderFailure>,
    reads_for_others: bool,
    own: SocketAddr,
    /// The other daemons that read the store, the preferred one first.
    readers: Vec<SocketAddr>,
    /// Whether the next read is another one of the store, since the last one failed.
    retries_store: bool,
    /// Whether this daemon's last read of the store failed.
    store_failed: bool,
}

impl ReaderRule {
    /// Creates the rule of the daemon at `own`, which knows no others yet.
    #[must_use]
    pub fn new(own: SocketAddr, data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            failures: HashMap::default(),
            reads_for_others: false,
            own,
            readers: Vec::new(),
            retries_store: false,
            store_failed: false,
        }
    }

    /// Chooses the readers among this daemon and the others in `view`.
    pub fn update(&mut self, view: &PeerView) {
        let mut daemons: Vec<SocketAddr> = view.local(&self.data_centre).collect();
        daemons.push(self.own);
        if daemons.len() < SHARED_DAEMONS_MIN {
            self.reads_for_others = false;
            self.readers.clear();
            return;
        }
        daemons.sort_by_cached_key(|address| Reverse(score(address, READER_SEED)));
        daemons.truncate(READERS_PER_CENTRE);
        self.reads_for_others = daemons.contains(&self.own);
        if self.reads_for_others {
            daemons.clear();
        }
        let preference = score(&self.own, READER_SEED);
        daemons.sort_by_cached_key(|address| Reverse(score(address, preference)));
        self.failures.retain(|address, _| daemons.contains(address));
        self.readers = daemons;
    }

    /// Returns whether this daemon may read from the one at `address`.
    #[must_use]
    pub fn is_reader(&self, address: &SocketAddr) -> bool {
        self.readers.contains(address)
    }

    /// Returns where to read at `now`.
    #[must_use]
    pub fn source(&self, now: MonotonicInstant) -> ReadSource {
        if self.reads_for_others {
            return ReadSource::StoreForOthers;
        }
        if self.retries_store {
            return ReadSource::Store;
        }
        let usable = |address: &&SocketAddr| {
            let failure = self.failures.get(*address);
            failure.is_none_or(|failure| failure.until <= now)
        };
        let reader = self.readers.iter().find(usable);
        reader.map_or(ReadSource::Store, |address| ReadSource::Daemon(*address))
    }

    /// Records that the reader at `address` failed; returns how long it isn't asked.
    pub fn record_failure(&mut self, address: SocketAddr, now: MonotonicInstant) -> Duration {
        let before = self.failures.get(&address);
        let pause = before.map_or(FAILURE_PAUSE_MIN, |failure| {
            (failure.pause * 2).min(FAILURE_PAUSE_MAX)
        });
        let until = now + pause;
        self.failures
            .insert(address, ReaderFailure { pause, until });
        pause
    }

    /// Records whether this daemon's own read of the store succeeded.
    ///
    /// A failed read took its time, and a reader may take as long to fail. The store is read once more
    /// before a reader is asked, which also serves a daemon that is cut off from the store alone.
    pub fn record_store_read(&mut self, is_read: bool) {
        self.retries_store = !is_read && !self.retries_store;
        self.store_failed = !is_read;
    }

    /// Returns how long a watch of the store may wait for changes, usually `wait`.
    ///
    /// A watch that a cut interrupts is noticed only after its whole wait, so there is none until the
    /// store has answered again.
    #[must_use]
    pub fn store_wait(&self, wait: Duration) -> Duration {
        if self.store_failed {
            Duration::ZERO
        } else {
            wait
        }
    }

    /// Records that the reader at `address` sent changes that are recent enough.
    pub fn record_success(&mut self, address: &SocketAddr) {
        self.failures.remove(address);
    }
}

fn score(address: &SocketAddr, seed: u64) -> u64 {
    rendezvous::score(address.to_string().as_bytes(), seed)
}
