//! The store's content; callers pass in the time.

use {
    super::{
        change_history::{ChangeHistory, HistoryGone},
        lease_table::LeaseTable,
        store_restore::{RestorePlan, RestoredWrite},
    },
    poplargap_platform::store_wire::{RangeQuery, TransactionBody},
    poplargap_store::{
        LeaseGrant, LeaseId, StoreRevision, StoredValue, SwapWrite, ValuePage, WatchBatch,
    },
    std::{
        collections::BTreeMap,
        ops::Bound::{Excluded, Included, Unbounded},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Longest value in bytes.
pub const VALUE_BYTES_MAX: usize = 1_000_000;

/// Most bytes of the values of a page, and most values, as on the platform.
const PAGE_BYTES_MAX: usize = 1024 * 1024;
const PAGE_VALUES_MAX: usize = 500;

/// Result of a compare-and-swap.
#[derive(Debug)]
pub(super) enum SwapAnswer {
    Applied(StoreRevision),
    Conflict(Option<StoredValue>),
    Malformed,
    NoLease,
    TooLong,
}

#[derive(Clone, Debug)]
struct ValueState {
    /// Number of the lease to which the value is bound.
    lease: Option<u64>,
    revision: StoreRevision,
    value: String,
}

impl ValueState {
    fn stored(&self, key: &str) -> StoredValue {
        StoredValue {
            key: key.to_owned(),
            revision: self.revision,
            value: self.value.clone(),
        }
    }
}

/// What a copy of the store holds.
#[derive(Debug)]
struct StoreCopy {
    leases: LeaseTable,
    revision: u64,
    values: BTreeMap<String, ValueState>,
}

/// The store's values, leases and history.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    copy: Option<StoreCopy>,
    history: ChangeHistory,
    leases: LeaseTable,
    values: BTreeMap<String, ValueState>,
}

impl StoreState {
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Result<WatchBatch, HistoryGone> {
        self.history.after(prefix, after)
    }

    pub(super) fn compact(&mut self) {
        self.history.compact();
    }

    /// Takes a copy, which replaces any earlier one.
    pub(super) fn take_copy(&mut self) {
        self.copy = Some(StoreCopy {
            leases: self.leases.clone(),
            revision: self.revision().number(),
            values: self.values.clone(),
        });
    }

    /// Puts the copy back in a new era and applies the writes of the plan; returns whether there was
    /// a copy.
    ///
    /// Everything since the copy is gone, and its revisions and lease numbers are given out again.
    pub(super) fn restore(&mut self, plan: RestorePlan) -> bool {
        let Some(copy) = &self.copy else {
            return false;
        };
        self.history.restart(copy.revision);
        self.leases = copy.leases.clone();
        self.values = copy.values.clone();
        let era = self.history.revision().era();
        for value in self.values.values_mut() {
            value.revision = StoreRevision::new(era, value.revision.number());
        }
        for RestoredWrite { key, value } in plan.writes {
            self.apply(SwapWrite {
                expected: None,
                key,
                lease: None,
                value,
            });
        }
        true
    }

    /// Removes the leases that have expired, with the values that are bound to them.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let expired = self.leases.remove_expired(now);
        if !expired.is_empty() {
            self.remove_bound_values(&expired);
        }
    }

    pub(super) fn get(&self, key: &str) -> Option<StoredValue> {
        self.values.get(key).map(|value| value.stored(key))
    }

    pub(super) fn grant_lease(&mut self, ttl: Duration, now: Instant) -> LeaseGrant {
        self.leases.grant(self.revision().era(), ttl, now)
    }

    pub(super) fn list(&self, query: &RangeQuery) -> ValuePage {
        let start = match &query.after {
            Some(after) if *after >= query.prefix => Excluded(after.as_str()),
            _ => Included(query.prefix.as_str()),
        };
        let mut bytes = 0;
        let mut next = None;
        let mut values: Vec<StoredValue> = Vec::new();
        let matching = self
            .values
            .range::<str, _>((start, Unbounded))
            .take_while(|(key, _)| key.starts_with(&query.prefix));
        for (key, value) in matching {
            bytes += value.value.len();
            if values.len() == PAGE_VALUES_MAX || (bytes > PAGE_BYTES_MAX && !values.is_empty()) {
                next = values.last().map(|last| last.key.clone());
                break;
            }
            values.push(value.stored(key));
        }
        ValuePage {
            next,
            revision: self.revision(),
            values,
        }
    }

    pub(super) fn next_lease_expiry(&self) -> Option<Instant> {
        self.leases.next_expiry()
    }

    pub(super) fn renew_lease(&mut self, id: u64, now: Instant) -> bool {
        self.leases.renew(id, now)
    }

    pub(super) fn revision(&self) -> StoreRevision {
        self.history.revision()
    }

    pub(super) fn revoke_lease(&mut self, id: u64) -> bool {
        let held = self.leases.revoke(id);
        if held {
            self.remove_bound_values(&[id]);
        }
        held
    }

    /// Applies all writes of a transaction, or none of them when one can't be applied.
    pub(super) fn swap(&mut self, transaction: &TransactionBody) -> SwapAnswer {
        let Some(writes) = transaction.swaps(self.revision().era()) else {
            return SwapAnswer::Malformed;
        };
        for write in &writes {
            if let Some(refusal) = self.refusal(write) {
                return refusal;
            }
        }
        for write in writes {
            self.apply(write);
        }
        SwapAnswer::Applied(self.revision())
    }

    /// Returns the reason why a write can't be applied, if there is one.
    fn refusal(&self, write: &SwapWrite) -> Option<SwapAnswer> {
        if write
            .lease
            .is_some_and(|id| !self.leases.holds(id.number()))
        {
            return Some(SwapAnswer::NoLease);
        }
        if write.value.as_ref().map_or(0, String::len) > VALUE_BYTES_MAX {
            return Some(SwapAnswer::TooLong);
        }
        let current = self.values.get(&write.key);
        let conflicts = current.map(|current| current.revision) != write.expected;
        conflicts.then(|| SwapAnswer::Conflict(self.get(&write.key)))
    }

    fn apply(&mut self, write: SwapWrite) {
        let revision = self.history.push(&write.key, write.value.as_deref());
        match write.value {
            None => {
                self.values.remove(&write.key);
            }
            Some(value) => {
                let lease = write.lease.map(LeaseId::number);
                let value = ValueState {
                    lease,
                    revision,
                    value,
                };
                self.values.insert(write.key, value);
            }
        }
    }

    fn remove_bound_values(&mut self, leases: &[u64]) {
        let bound = |value: &ValueState| value.lease.is_some_and(|id| leases.contains(&id));
        let removed = self.values.extract_if(.., |_, value| bound(value));
        for (key, _) in removed {
            self.history.push(&key, None);
        }
    }
}
