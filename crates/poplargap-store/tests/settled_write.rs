//! Tests that a write with lost answers never reports a wrong outcome.

use {
    poplargap_store::{
        KeyValueStore, LeaseGrant, LeaseId, SettleLimit, StoreEra, StoreError, StoreRevision,
        StoredValue, SwapOutcome, SwapWrite, ValuePage, WatchBatch, WriteEvidence,
        write_then_settle,
    },
    proptest::{
        prelude::{Just, ProptestConfig, Strategy, any},
        prop_oneof,
        test_runner::RngSeed,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::Instant,
};

const KEY: &str = "key";
const OWN: &str = "own";

/// Fault in one call.
#[derive(Clone, Copy, Debug)]
enum CallFault {
    Answer,
    Delay,
    LoseAnswer,
    LoseRequest,
    NotSent,
}

/// Conditions of one call.
#[derive(Clone, Copy, Debug)]
struct CallStep {
    deliver_delayed: bool,
    fault: CallFault,
    rival_writes: bool,
}

/// A store behind a network that loses and delays messages according to its steps.
#[derive(Clone, Debug)]
struct LossyStore {
    state: Arc<Mutex<LossyState>>,
}

#[derive(Debug, Default)]
struct LossyState {
    delayed: Vec<SwapWrite>,
    own_applied: u32,
    revision: u64,
    rivals_keep_ids: bool,
    steps: Vec<CallStep>,
    value: Option<StoredValue>,
}

impl LossyState {
    fn apply(&mut self, write: &SwapWrite) -> SwapOutcome {
        let current = self.value.as_ref().map(|value| value.revision);
        if current != write.expected {
            return SwapOutcome::Conflict(self.value.clone());
        }
        let value = write.value.clone().unwrap();
        self.own_applied += u32::from(value == OWN);
        self.put(value);
        SwapOutcome::Applied(StoreRevision::new(StoreEra::default(), self.revision))
    }

    fn deliver_delayed(&mut self) {
        for write in std::mem::take(&mut self.delayed) {
            self.apply(&write);
        }
    }

    fn next_fault(&mut self) -> CallFault {
        let Some(step) = self.steps.pop() else {
            return CallFault::Answer;
        };
        if step.deliver_delayed {
            self.deliver_delayed();
        }
        if step.rival_writes {
            self.write_rival();
        }
        step.fault
    }

    fn put(&mut self, value: String) {
        self.revision += 1;
        self.value = Some(StoredValue {
            key: KEY.to_owned(),
            revision: StoreRevision::new(StoreEra::default(), self.revision),
            value,
        });
    }

    fn write_rival(&mut self) {
        let before = self.value.as_ref().map(|value| value.value.as_str());
        let kept = before.filter(|_| self.rivals_keep_ids);
        self.put(format!("{} rival", kept.unwrap_or_default()));
    }
}

impl LossyStore {
    fn state(&self) -> MutexGuard<'_, LossyState> {
        self.state.lock().unwrap()
    }
}

fn no_answer() -> StoreError {
    StoreError::NoAnswer(String::new())
}

impl KeyValueStore for LossyStore {
    async fn get(&self, _key: &str) -> Result<Option<StoredValue>, StoreError> {
        let mut state = self.state();
        match state.next_fault() {
            CallFault::Answer => Ok(state.value.clone()),
            _ => Err(no_answer()),
        }
    }

    async fn list(&self, _prefix: &str, _after: Option<&str>) -> Result<ValuePage, StoreError> {
        Err(no_answer())
    }

    async fn swap(&self, write: &SwapWrite) -> SwapOutcome {
        let mut state = self.state();
        match state.next_fault() {
            CallFault::Answer => return state.apply(write),
            CallFault::Delay => state.delayed.push(write.clone()),
            CallFault::LoseAnswer => drop(state.apply(write)),
            CallFault::LoseRequest => {}
            CallFault::NotSent => return SwapOutcome::Failed(StoreError::NotSent(String::new())),
        }
        SwapOutcome::Unknown(no_answer())
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        Err(no_answer())
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseGrant, StoreError> {
        Err(no_answer())
    }

    async fn renew_lease(&self, _id: LeaseId) -> Result<(), StoreError> {
        Err(no_answer())
    }

    async fn revoke_lease(&self, _id: LeaseId) -> Result<(), StoreError> {
        Err(no_answer())
    }
}

fn any_step() -> impl Strategy<Value = CallStep> {
    let fault = prop_oneof![
        Just(CallFault::Answer),
        Just(CallFault::Delay),
        Just(CallFault::LoseAnswer),
        Just(CallFault::LoseRequest),
        Just(CallFault::NotSent),
    ];
    let rival_writes = proptest::bool::weighted(0.1);
    (any::<bool>(), fault, rival_writes).prop_map(|(deliver_delayed, fault, rival_writes)| {
        CallStep {
            deliver_delayed,
            fault,
            rival_writes,
        }
    })
}

async fn settle(store: &LossyStore, expected: Option<StoreRevision>) -> SwapOutcome {
    let rivals_keep_ids = store.state().rivals_keep_ids;
    let evidence = |current: &StoredValue| {
        if current.value.contains(OWN) {
            WriteEvidence::Applied
        } else if rivals_keep_ids {
            WriteEvidence::NotApplied
        } else {
            WriteEvidence::Unclear
        }
    };
    let write = SwapWrite {
        expected,
        key: KEY.to_owned(),
        lease: None,
        value: Some(OWN.to_owned()),
    };
    let limit = SettleLimit {
        deadline: Instant::now() + Duration::from_mins(1),
        pause: Duration::from_millis(10),
        rounds_max: 6,
    };
    write_then_settle(store, &write, evidence, limit).await
}

fn check(steps: Vec<CallStep>, key_exists: bool, rivals_keep_ids: bool) {
    let store = LossyStore {
        state: Arc::default(),
    };
    store.state().rivals_keep_ids = rivals_keep_ids;
    if key_exists {
        store.state().put("base".to_owned());
    }
    store.state().steps = steps;
    let expected = key_exists.then_some(StoreRevision::new(StoreEra::default(), 1));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let outcome = runtime.block_on(settle(&store, expected));
    let mut state = store.state();
    state.deliver_delayed();
    let own_applied = state.own_applied;
    match outcome {
        SwapOutcome::Applied(_) => assert_eq!(own_applied, 1),
        SwapOutcome::Conflict(_) | SwapOutcome::Failed(_) => assert_eq!(own_applied, 0),
        SwapOutcome::Unknown(_) => assert!(own_applied <= 1),
    }
    if rivals_keep_ids {
        assert_ne!(outcome, SwapOutcome::Unknown(StoreError::Superseded));
    }
}

proptest::proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn outcome_is_never_wrong(
        steps in proptest::collection::vec(any_step(), 0..16),
        key_exists in any::<bool>(),
        rivals_keep_ids in any::<bool>(),
    ) {
        check(steps, key_exists, rivals_keep_ids);
    }
}
