//! What daemons tell each other, and how they announce themselves.

use {
    poplargap_core::forward::{LoadDigest, LoadReport, PeerEntry, PeerReport, PrefixReplica},
    poplargap_forward::{PEERS_PREFIX, PeerMessage, announce},
    poplargap_store::{
        KeyValueStore, LeaseGrant, LeaseId, StoreError, StoreRevision, StoredValue, SwapOutcome,
        SwapWrite, ValuePage, WatchBatch,
    },
    proptest::{collection::vec, prelude::any, prop_assert, prop_assert_eq, proptest},
    slog::{Discard, Logger, o},
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Longest time until a lost entry is there again.
const RETURN_MAX: Duration = Duration::from_secs(70);

/// A store that only keeps leases and keys.
#[derive(Clone, Debug, Default)]
struct LeaseStore {
    state: Arc<Mutex<LeaseState>>,
}

#[derive(Debug, Default)]
struct LeaseState {
    is_down: bool,
    last_lease: u64,
    live: Option<LeaseId>,
    value: Option<StoredValue>,
    writes: u64,
}

impl LeaseStore {
    fn state(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().unwrap()
    }

    /// Ends the lease and what hangs on it.
    fn lose_lease(&self) {
        let mut state = self.state();
        state.live = None;
        state.value = None;
    }

    fn reachable(&self) -> Result<MutexGuard<'_, LeaseState>, StoreError> {
        let state = self.state();
        if state.is_down {
            Err(StoreError::NoAnswer("it is down".to_owned()))
        } else {
            Ok(state)
        }
    }
}

impl KeyValueStore for LeaseStore {
    async fn get(&self, _key: &str) -> Result<Option<StoredValue>, StoreError> {
        Ok(self.reachable()?.value.clone())
    }

    async fn list(&self, _prefix: &str, _after: Option<&str>) -> Result<ValuePage, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn swap(&self, write: &SwapWrite) -> SwapOutcome {
        let mut state = match self.reachable() {
            Ok(state) => state,
            Err(error) => return SwapOutcome::Unknown(error),
        };
        if state.live.is_none() || state.live != write.lease {
            return SwapOutcome::Failed(StoreError::NoLease);
        }
        state.writes += 1;
        let revision = StoreRevision(state.writes);
        state.value = write.value.clone().map(|value| StoredValue {
            key: write.key.clone(),
            revision,
            value,
        });
        SwapOutcome::Applied(revision)
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        let mut state = self.reachable()?;
        state.last_lease += 1;
        let id = LeaseId(state.last_lease);
        state.live = Some(id);
        Ok(LeaseGrant {
            fence: id.0,
            id,
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        })
    }

    async fn renew_lease(&self, id: LeaseId) -> Result<(), StoreError> {
        let state = self.reachable()?;
        if state.live == Some(id) {
            Ok(())
        } else {
            Err(StoreError::NoLease)
        }
    }

    async fn revoke_lease(&self, _id: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}

fn entry() -> PeerEntry {
    PeerEntry {
        address: ([10, 0, 0, 1], 7_340).into(),
        data_centre: "ne1".into(),
    }
}

fn digest(count: usize) -> PeerMessage {
    let told = |number: usize| PeerReport {
        age_ms: 120,
        replica: format!("i-{number:08x}").into(),
        report: LoadReport {
            running: 12,
            waiting: 3,
        },
    };
    let cached = |number: usize| PrefixReplica {
        key: u64::MAX - number as u64,
        replica: format!("i-{number:08x}").into(),
    };
    PeerMessage::Loads(LoadDigest {
        prefix_replicas: (0..count).map(cached).collect(),
        reports: (0..count).map(told).collect(),
    })
}

#[tokio::test(start_paused = true)]
async fn announcement_that_the_store_lost_is_made_anew() {
    let store = LeaseStore::default();
    let log = Logger::root(Discard, o!());
    let announcement = tokio::spawn(announce(store.clone(), entry(), log));
    sleep(RETURN_MAX).await;
    let first = store.state().value.clone().expect("it is announced");
    assert!(first.key.starts_with(PEERS_PREFIX));
    store.lose_lease();
    sleep(RETURN_MAX).await;
    let second = store.state().value.clone().expect("it is announced again");
    assert_eq!(first.key, second.key);
    assert_ne!(first.revision, second.revision);
    announcement.abort();
}

#[tokio::test(start_paused = true)]
async fn announcement_outlives_a_store_that_is_down() {
    let store = LeaseStore::default();
    store.state().is_down = true;
    let log = Logger::root(Discard, o!());
    let announcement = tokio::spawn(announce(store.clone(), entry(), log));
    sleep(RETURN_MAX).await;
    assert!(store.state().value.is_none());
    store.state().is_down = false;
    sleep(RETURN_MAX).await;
    assert_eq!(store.state().writes, 1);
    store.state().is_down = true;
    sleep(RETURN_MAX).await;
    store.state().is_down = false;
    sleep(RETURN_MAX).await;
    assert_eq!(store.state().writes, 1, "the lease outlived the outage");
    announcement.abort();
}

/// Each write wakes the watches of all daemons; a roll of all of them would wake them all day.
#[tokio::test(start_paused = true)]
async fn daemon_that_starts_anew_writes_nothing() {
    let store = LeaseStore::default();
    let log = Logger::root(Discard, o!());
    for _ in 0..5 {
        let announcement = tokio::spawn(announce(store.clone(), entry(), log.clone()));
        sleep(RETURN_MAX).await;
        announcement.abort();
    }
    assert_eq!(store.state().writes, 1);
}

#[test]
fn message_is_read_as_it_was_written_and_fits_a_datagram() {
    let message = digest(48);
    let bytes = message.write().expect("it can be written");
    assert!(bytes.len() <= 2_400, "{} bytes", bytes.len());
    assert_eq!(PeerMessage::read(&bytes), Ok(message));
}

proptest! {
    #[test]
    fn any_datagram_is_read_or_refused(bytes in vec(any::<u8>(), 0..2_000)) {
        if let Ok(message) = PeerMessage::read(&bytes) {
            let PeerMessage::Loads(digest) = &message;
            prop_assert!(digest.reports.len() + digest.prefix_replicas.len() <= bytes.len());
            let again = message.write().expect("it can be written");
            prop_assert_eq!(PeerMessage::read(&again), Ok(message));
        }
    }

    #[test]
    fn cut_message_is_refused(count in 1_usize..40, cut in 1_usize..500) {
        let bytes = digest(count).write().expect("it can be written");
        let end = bytes.len().saturating_sub(cut);
        prop_assert!(PeerMessage::read(&bytes[..end]).is_err());
    }
}
