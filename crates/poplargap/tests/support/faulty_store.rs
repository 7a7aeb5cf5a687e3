//! A store in memory that loses answers and delays writes at random, from a seed.

use {
    poplargap_store::{
        KeyValueStore, LeaseGrant, LeaseId, StoreEra, StoreError, StoreRevision, StoredValue,
        SwapOutcome, SwapWrite, ValuePage, WatchBatch,
    },
    rand::Rng,
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Chance of each fault of a call, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultChances {
    /// The write never takes effect; its caller gets no answer.
    pub dropped: u32,
    /// The write is applied later, if it still can be; its caller gets no answer.
    pub late: u32,
    /// The call takes effect and its answer is lost.
    pub lost: u32,
    /// The call fails without an effect, and its caller gets an error that says so.
    pub unsent: u32,
}

struct StoreState {
    chances: FaultChances,
    late: Vec<SwapWrite>,
    random: ChaCha8Rng,
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    written: Vec<StoredValue>,
}

impl StoreState {
    fn apply(&mut self, write: &SwapWrite) -> SwapOutcome {
        let current = self.values.get(&write.key).cloned();
        if current.as_ref().map(|current| current.revision) != write.expected {
            return SwapOutcome::Conflict(current);
        }
        self.revision += 1;
        let revision = StoreRevision::new(StoreEra::default(), self.revision);
        let stored = StoredValue {
            key: write.key.clone(),
            revision,
            value: write.value.clone().expect("the catalogue removes no key"),
        };
        self.written.push(stored.clone());
        self.values.insert(write.key.clone(), stored);
        SwapOutcome::Applied(revision)
    }

    fn draw(&mut self, chance: u32) -> bool {
        self.random.random_range(0..100) < chance
    }

    fn release_late(&mut self) {
        if !self.late.is_empty() && self.draw(40) {
            let position = self.random.random_range(0..self.late.len());
            let write = self.late.swap_remove(position);
            self.apply(&write);
        }
    }
}

/// A store in memory; clones share its content and its faults.
#[derive(Clone)]
pub struct FaultyStore(Arc<Mutex<StoreState>>);

impl FaultyStore {
    pub fn new(seed: u64, chances: FaultChances) -> Self {
        Self(Arc::new(Mutex::new(StoreState {
            chances,
            late: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            revision: 0,
            values: BTreeMap::new(),
            written: Vec::new(),
        })))
    }

    pub fn set_chances(&self, chances: FaultChances) {
        self.with(|state| state.chances = chances);
    }

    /// Applies all late writes that still can be, and returns every value ever written.
    pub fn finish(&self) -> Vec<StoredValue> {
        self.with(|state| {
            for write in std::mem::take(&mut state.late) {
                state.apply(&write);
            }
            state.written.clone()
        })
    }

    fn with<T>(&self, work: impl FnOnce(&mut StoreState) -> T) -> T {
        work(&mut self.0.lock().expect("no test panics inside the store"))
    }

    async fn delay(&self) {
        let millis = self.with(|state| state.random.random_range(1..20));
        sleep(Duration::from_millis(millis)).await;
    }

    async fn read<T>(&self, work: impl FnOnce(&StoreState) -> T) -> Result<T, StoreError> {
        self.delay().await;
        let answer = self.with(|state| {
            state.release_late();
            let lost = state.chances.lost;
            (!state.draw(lost)).then(|| work(state))
        });
        self.delay().await;
        answer.ok_or_else(|| StoreError::NoAnswer("lost".to_owned()))
    }
}

impl KeyValueStore for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.read(|state| state.values.get(key).cloned()).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<ValuePage, StoreError> {
        self.read(|state| {
            let mut values = state
                .values
                .values()
                .filter(|stored| stored.key.starts_with(prefix))
                .filter(|stored| after.is_none_or(|after| stored.key.as_str() > after));
            let page: Vec<StoredValue> = values.by_ref().take(2).cloned().collect();
            let next = values.next().and(page.last()).map(|last| last.key.clone());
            let revision = StoreRevision::new(StoreEra::default(), state.revision);
            ValuePage {
                next,
                revision,
                values: page,
            }
        })
        .await
    }

    async fn swap(&self, write: &SwapWrite) -> SwapOutcome {
        self.delay().await;
        let outcome = self.with(|state| {
            state.release_late();
            let FaultChances {
                dropped,
                late,
                lost,
                unsent,
            } = state.chances;
            if state.draw(unsent) {
                return SwapOutcome::Failed(StoreError::NotSent("refused".to_owned()));
            }
            if state.draw(dropped) {
                return SwapOutcome::Unknown(StoreError::NoAnswer("dropped".to_owned()));
            }
            if state.draw(late) {
                state.late.push(write.clone());
                return SwapOutcome::Unknown(StoreError::NoAnswer("late".to_owned()));
            }
            let outcome = state.apply(write);
            if state.draw(lost) {
                return SwapOutcome::Unknown(StoreError::NoAnswer("lost".to_owned()));
            }
            outcome
        });
        self.delay().await;
        outcome
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        unimplemented!("the command line doesn't watch")
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseGrant, StoreError> {
        unimplemented!("the command line takes no lease")
    }

    async fn renew_lease(&self, _id: LeaseId) -> Result<(), StoreError> {
        unimplemented!("the command line takes no lease")
    }

    async fn revoke_lease(&self, _id: LeaseId) -> Result<(), StoreError> {
        unimplemented!("the command line takes no lease")
    }
}
