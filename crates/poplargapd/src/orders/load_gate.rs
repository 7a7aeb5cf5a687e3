//! Tickets that limit how many engines of a pool load weights at once, in all data centres.

use {
    super::KEY_PREFIX,
    poplargap_core::{
        catalogue::{CatalogueSnapshot, UpstreamEntry},
        collections::{HashMap, HashMapExt},
        instant::MonotonicInstant,
        name::{DataCentre, PoolName, UpstreamName},
        order::{WeightLoadRecord, WeightLoadTicket},
    },
    poplargap_store::{KeyValueStore, StoreError, SwapOutcome, SwapWrite},
    std::{sync::Arc, time::Duration},
};

/// Pause between two attempts to get a ticket.
const TICKET_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Time between two reads of a record that needs no change.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);

/// The lease holder that requests tickets, and its state at that time.
#[derive(Clone, Copy, Debug)]
pub(super) struct GateContext<'a> {
    pub(super) data_centre: &'a DataCentre,
    pub(super) fence: u64,
    /// Whether all orders of former holders have ended.
    pub(super) former_orders_ended: bool,
    pub(super) now: MonotonicInstant,
    pub(super) snapshot: &'a CatalogueSnapshot,
}

#[derive(Debug, Default)]
struct PoolGate {
    /// Wanted tickets that the store is known to have.
    held: Vec<WeightLoadTicket>,
    /// Tickets that were wanted at the last update.
    last_wanted: Vec<WeightLoadTicket>,
    next_update: MonotonicInstant,
    /// Whether an unanswered write may still take effect, so that the next write can't be skipped.
    unconfirmed: bool,
}

/// The lease holder's tickets in the store, which has one record for each pool.
#[derive(Debug)]
pub(super) struct LoadGate<S> {
    pools: HashMap<PoolName, PoolGate>,
    store: S,
}

impl<S: KeyValueStore> LoadGate<S> {
    pub(super) fn new(store: S) -> Self {
        let pools = HashMap::new();
        Self { pools, store }
    }

    /// Drops all tickets, which belong to the former fencing number.
    pub(super) fn reset(&mut self) {
        self.pools.clear();
    }

    /// Returns whether the upstream has a ticket to load weights.
    pub(super) fn allows(&self, pool: &PoolName, upstream: &UpstreamName) -> bool {
        self.pools.get(pool).is_some_and(|gate| {
            let mut held = gate.held.iter();
            held.any(|ticket| ticket.upstream == *upstream)
        })
    }

    /// Acquires tickets for `loading` as far as `limit` allows, and releases all others.
    pub(super) async fn sync(
        &mut self,
        pool: &PoolName,
        limit: u32,
        loading: &[Arc<UpstreamEntry>],
        context: GateContext<'_>,
    ) {
        let gate = self.pools.entry(pool.clone()).or_default();
        let wanted: Vec<WeightLoadTicket> = loading
            .iter()
            .map(|entry| WeightLoadTicket {
                data_centre: context.data_centre.clone(),
                fence: context.fence,
                upstream: entry.name.clone(),
            })
            .collect();
        if context.now < gate.next_update && wanted == gate.last_wanted {
            return;
        }
        // Released tickets are no longer held, whether or not the write succeeds.
        gate.held.retain(|ticket| wanted.contains(ticket));
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let stored = gate
            .update_record(&self.store, pool, &wanted, limit, context)
            .await
            .unwrap_or(false);
        let pause = if stored && gate.held.len() == wanted.len() {
            SWEEP_INTERVAL
        } else {
            TICKET_RETRY_PAUSE
        };
        gate.next_update = context.now + pause;
        gate.last_wanted = wanted;
    }
}

impl PoolGate {
    /// Updates the record; returns whether the store is known to have the updated one.
    async fn update_record<S: KeyValueStore>(
        &mut self,
        store: &S,
        pool: &PoolName,
        wanted: &[WeightLoadTicket],
        limit: usize,
        context: GateContext<'_>,
    ) -> Result<bool, StoreError> {
        let key = format!("{KEY_PREFIX}-loads/{pool}");
        let stored = store.get(&key).await?;
        let expected = stored.as_ref().map(|stored| stored.revision);
        let before: WeightLoadRecord = match &stored {
            Some(stored) => serde_json::from_str(&stored.value)
                .map_err(|error| StoreError::Malformed(error.to_string()))?,
            None => WeightLoadRecord::default(),
        };
        let mut record = before.clone();
        let snapshot = context.snapshot;
        record.remove_data_centres(snapshot.revision, |name| {
            snapshot.data_centres.contains_key(name)
        });
        if context.former_orders_ended {
            record.remove_former_tickets(context.data_centre, context.fence);
        }
        record.update_tickets(context.data_centre, context.fence, wanted, limit);
        if record.tickets == before.tickets && !self.unconfirmed {
            self.set_held(&record, wanted);
            return Ok(true);
        }
        let value = serde_json::to_string(&record)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let write = SwapWrite {
            expected,
            key,
            lease: None,
            value: Some(value),
        };
        match store.swap(&write).await {
            SwapOutcome::Applied(_) => {
                self.unconfirmed = false;
                self.set_held(&record, wanted);
                Ok(true)
            }
            SwapOutcome::Conflict(_) | SwapOutcome::Failed(_) => Ok(false),
            SwapOutcome::Unknown(_) => {
                self.unconfirmed = true;
                Ok(false)
            }
        }
    }

    fn set_held(&mut self, record: &WeightLoadRecord, wanted: &[WeightLoadTicket]) {
        let held = wanted.iter().filter(|ticket| record.holds(ticket));
        self.held = held.cloned().collect();
    }
}
