//! Tests of the messages between daemons and of their announcements.

use {
    poplargap_core::forward::{
        CrashId, CrashReport, LoadDigest, LoadReport, PeerCrash, PeerEntry, PeerReport,
        PendingCrashes, PrefixReplica, PromptPart, RequestContent, RequestIdentity, ServiceDemand,
        UnansweredCall,
    },
    poplargap_forward::{PEERS_PREFIX, PeerMessage, announce},
    poplargap_store::{
        KeyValueStore, LeaseGrant, LeaseId, StoreEra, StoreError, StoreRevision, StoredValue,
        SwapOutcome, SwapWrite, ValuePage, WatchBatch,
    },
    proptest::{collection::vec, prelude::any, prop_assert, prop_assert_eq, proptest},
    slog::{Discard, Logger, o},
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Longest time until a lost announcement is written again.
const REANNOUNCE_MAX: Duration = Duration::from_secs(70);

/// A store with one lease and one value.
#[derive(Clone, Debug, Default)]
struct LeaseStore {
    state: Arc<Mutex<LeaseState>>,
}

#[derive(Debug, Default)]
struct LeaseState {
    is_unavailable: bool,
    last_lease: u64,
    live: Option<LeaseId>,
    value: Option<StoredValue>,
    writes: u64,
}

impl LeaseStore {
    fn state(&self) -> MutexGuard<'_, LeaseState> {
        self.state.lock().unwrap()
    }

    /// Ends the lease, which removes the value.
    fn end_lease(&self) {
        let mut state = self.state();
        state.live = None;
        state.value = None;
    }

    fn reachable(&self) -> Result<MutexGuard<'_, LeaseState>, StoreError> {
        let state = self.state();
        if state.is_unavailable {
            Err(StoreError::NoAnswer("the store is unavailable".to_owned()))
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
        let revision = StoreRevision::new(StoreEra::default(), state.writes);
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
        let id = LeaseId::new(StoreEra::default(), state.last_lease);
        state.live = Some(id);
        Ok(LeaseGrant {
            fence: id.number(),
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
    let report = |number: usize| PeerReport {
        age_ms: 120,
        replica: format!("i-{number:08x}").into(),
        report: LoadReport {
            running: 12,
            waiting: 3,
            ..LoadReport::default()
        },
    };
    let cached = |number: usize| PrefixReplica {
        key: u64::MAX - number as u64,
        replica: format!("i-{number:08x}").into(),
    };
    PeerMessage::Loads(LoadDigest {
        demands: vec![ServiceDemand {
            requests: 7,
            service: "orders".into(),
        }],
        prefix_replicas: (0..count).map(cached).collect(),
        reports: (0..count).map(report).collect(),
    })
}

#[tokio::test(start_paused = true)]
async fn lost_announcement_is_written_again() {
    let store = LeaseStore::default();
    let log = Logger::root(Discard, o!());
    let announcement = tokio::spawn(announce(store.clone(), entry(), log));
    sleep(REANNOUNCE_MAX).await;
    let first = store
        .state()
        .value
        .clone()
        .expect("the daemon is announced");
    assert!(first.key.starts_with(PEERS_PREFIX));
    store.end_lease();
    sleep(REANNOUNCE_MAX).await;
    let second = store
        .state()
        .value
        .clone()
        .expect("the daemon is announced again");
    assert_eq!(first.key, second.key);
    assert_ne!(first.revision, second.revision);
    announcement.abort();
}

#[tokio::test(start_paused = true)]
async fn announcement_survives_an_outage_of_the_store() {
    let store = LeaseStore::default();
    store.state().is_unavailable = true;
    let log = Logger::root(Discard, o!());
    let announcement = tokio::spawn(announce(store.clone(), entry(), log));
    sleep(REANNOUNCE_MAX).await;
    assert!(store.state().value.is_none());
    store.state().is_unavailable = false;
    sleep(REANNOUNCE_MAX).await;
    assert_eq!(store.state().writes, 1);
    store.state().is_unavailable = true;
    sleep(REANNOUNCE_MAX).await;
    store.state().is_unavailable = false;
    sleep(REANNOUNCE_MAX).await;
    assert_eq!(store.state().writes, 1, "the lease survived the outage");
    announcement.abort();
}

/// Each write wakes the watches of all daemons, so writes in a rolling restart of the fleet would
/// wake them all day.
#[tokio::test(start_paused = true)]
async fn restarted_daemon_writes_nothing() {
    let store = LeaseStore::default();
    let log = Logger::root(Discard, o!());
    for _ in 0..5 {
        let announcement = tokio::spawn(announce(store.clone(), entry(), log.clone()));
        sleep(REANNOUNCE_MAX).await;
        announcement.abort();
    }
    assert_eq!(store.state().writes, 1);
}

#[test]
fn message_round_trips_and_fits_into_a_datagram() {
    let message = digest(48);
    let bytes = message.write().expect("the message can be encoded");
    assert!(bytes.len() <= 2_400, "{} bytes", bytes.len());
    assert_eq!(PeerMessage::read(&bytes), Ok(message));
}

#[test]
fn crash_reports_fit_into_datagrams_and_all_are_sent() {
    let mut pending = PendingCrashes::default();
    for number in 0..40_u64 {
        let prompt = (0..number * 20).map(|part| PromptPart {
            hash: u64::MAX - part,
            tokens: 100,
        });
        let prompt: Vec<PromptPart> = prompt.collect();
        let content = RequestContent {
            body: &number.to_be_bytes(),
            method: "POST",
            target: "/once/",
        };
        let identity = RequestIdentity::new(&prompt, content);
        let calls = (0..3).map(|call| {
            UnansweredCall::new(&format!("r{number}-{call}"), &identity, Some("ty-bach"))
        });
        let crash = CrashId {
            replica: format!("i-{number:08x}").into(),
            started_ms: u64::MAX,
        };
        let report = CrashReport::new(crash, u64::MAX, calls.collect());
        let seen_by = entry().address;
        pending.record_own(number.to_string(), PeerCrash { report, seen_by });
    }
    let mut sent = 0;
    loop {
        let crashes = pending.take();
        if crashes.is_empty() {
            break;
        }
        sent += crashes.len();
        let message = PeerMessage::Crashes(crashes);
        let bytes = message.write().expect("the message can be encoded");
        assert!(bytes.len() <= 3_200, "{} bytes", bytes.len());
        assert_eq!(PeerMessage::read(&bytes), Ok(message));
    }
    // Of the prompts, those of more than 290 parts are left to the store.
    assert_eq!(sent, 15 * 3);
}

proptest! {
    #[test]
    fn any_datagram_is_decoded_or_refused(bytes in vec(any::<u8>(), 0..2_000)) {
        if let Ok(message) = PeerMessage::read(&bytes) {
            let entries = match &message {
                PeerMessage::Crashes(crashes) => crashes.len(),
                PeerMessage::Leaving(leaving) => leaving.len(),
                PeerMessage::Loads(digest) => digest.reports.len() + digest.prefix_replicas.len(),
            };
            prop_assert!(entries <= bytes.len());
            let again = message.write().expect("the message can be encoded");
            prop_assert_eq!(PeerMessage::read(&again), Ok(message));
        }
    }

    #[test]
    fn truncated_message_is_refused(count in 1_usize..40, cut in 1_usize..500) {
        let bytes = digest(count).write().expect("the message can be encoded");
        let end = bytes.len().saturating_sub(cut);
        prop_assert!(PeerMessage::read(&bytes[..end]).is_err());
    }
}
