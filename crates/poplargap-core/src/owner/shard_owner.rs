//! State of one shard at the daemon that owns it.

use {
    super::{PlaceRequest, PlacementPolicy, UpstreamLoad, policy::LoadTable},
    crate::{
        catalogue::{LoadMultiple, PoolEntry},
        collections::{HashMap, HashMapExt},
        instant::MonotonicInstant,
        name::UpstreamName,
        shard::PoolShard,
    },
    displaydoc::Display,
    std::{collections::BTreeSet, sync::Arc},
};

/// Why a request was not placed on any upstream of the shard.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PlaceRefusal {
    /// every upstream of the shard is at its bound
    Full,
    /// no upstream of the shard is up and serving
    NoUpstream,
}

impl std::error::Error for PlaceRefusal {}

/// Total load and number of available upstreams of one or more shards of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// Requests in flight.
    pub in_flight: u64,
    /// Upstreams that accept new requests.
    pub upstreams: u64,
}

impl PoolLoad {
    /// Returns the sum of both loads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight + other.in_flight,
            upstreams: self.upstreams + other.upstreams,
        }
    }
}

/// Tracks the exact loads of a shard's upstreams and places requests on them.
#[derive(Debug)]
pub struct ShardOwner {
    epoch: u64,
    loads: LoadTable,
    pool: Arc<PoolEntry>,
}

impl ShardOwner {
    /// Creates the owner of a shard at `epoch`, with no requests in flight.
    #[must_use]
    pub fn new(epoch: u64, pool: Arc<PoolEntry>, shard: &PoolShard) -> Self {
        let mut owner = Self {
            epoch,
            loads: LoadTable::new(),
            pool,
        };
        owner.set_upstreams(shard);
        owner
    }

    /// Returns the epoch, which orders the owners of this shard over time.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of requests that this owner has in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.loads.values().map(|load| load.in_flight).sum()
    }

    /// Returns the load of the whole shard, former owners' requests included.
    #[must_use]
    pub fn load(&self, now: MonotonicInstant) -> PoolLoad {
        let in_flight = self.loads.values().map(UpstreamLoad::total).sum();
        let available = self
            .loads
            .values()
            .filter(|load| load.is_available(now))
            .count();
        let upstreams = u64::try_from(available).unwrap_or(u64::MAX);
        PoolLoad {
            in_flight,
            upstreams,
        }
    }

    /// Returns the load of each upstream, in no particular order.
    pub fn loads(&self) -> impl Iterator<Item = &UpstreamLoad> {
        self.loads.values()
    }

    /// Returns the mutable load of one upstream.
    pub fn load_mut(&mut self, upstream: &UpstreamName) -> Option<&mut UpstreamLoad> {
        self.loads.get_mut(upstream)
    }

    /// Replaces the pool entry after a catalogue change.
    pub fn set_pool(&mut self, pool: Arc<PoolEntry>) {
        self.pool = pool;
    }

    /// Replaces the shard's upstreams after a catalogue change and keeps their loads.
    ///
    /// An upstream that was removed from the catalogue gets no new requests and is kept until its
    /// requests in flight end.
    pub fn set_upstreams(&mut self, shard: &PoolShard) {
        let names: BTreeSet<&UpstreamName> =
            shard.upstreams.iter().map(|entry| &entry.name).collect();
        self.loads
            .retain(|name, load| names.contains(name) || load.in_flight > 0);
        for (name, load) in &mut self.loads {
            load.removed = !names.contains(name);
        }
        for entry in &shard.upstreams {
            let entry = Arc::clone(entry);
            match self.loads.get_mut(&entry.name) {
                Some(load) => load.entry = entry,
                None => {
                    self.loads
                        .insert(entry.name.clone(), UpstreamLoad::new(entry));
                }
            }
        }
    }

    /// Returns the highest number of requests that one upstream may have in flight.
    ///
    /// It is computed for the load of the pool plus the request to be placed; `others` is the load
    /// of the pool's other shards.
    #[must_use]
    pub fn bound(&self, others: PoolLoad, now: MonotonicInstant) -> u64 {
        let shard = self.load(now);
        let load = shard.in_flight + others.in_flight + 1;
        let multiple: LoadMultiple = self.pool.multiple;
        multiple.bound(load, shard.upstreams + others.upstreams)
    }

    /// Selects an upstream and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns [`PlaceRefusal::NoUpstream`] when no upstream is available except those to avoid,
    /// and [`PlaceRefusal::Full`] when all others have reached their slots or, under a bounded
    /// policy, their bound.
    pub fn place<P: PlacementPolicy>(
        &mut self,
        policy: &mut P,
        request: &PlaceRequest,
        others: PoolLoad,
        random: u64,
        now: MonotonicInstant,
    ) -> Result<UpstreamName, PlaceRefusal> {
        let bound = self.bound(others, now);
        let slots = u64::from(self.pool.slots);
        let mut candidates: Vec<&UpstreamLoad> = self
            .loads
            .values()
            .filter(|load| load.is_available(now) && !request.avoid.contains(&load.entry.name))
            .collect();
        if candidates.is_empty() {
            return Err(PlaceRefusal::NoUpstream);
        }
        candidates.retain(|load| load.total() < slots && (!P::BOUNDED || load.total() < bound));
        candidates.sort_by(|a, b| a.entry.name.cmp(&b.entry.name));
        let Some(name) = policy.choose(request, &candidates, random) else {
            return Err(PlaceRefusal::Full);
        };
        policy.remember(request, &name);
        if let Some(load) = self.loads.get_mut(&name) {
            load.in_flight += 1;
        }
        Ok(name)
    }

    /// Returns whether some upstream can accept one more request.
    #[must_use]
    pub fn has_room(&self, others: PoolLoad, now: MonotonicInstant) -> bool {
        let limit = self.bound(others, now).min(u64::from(self.pool.slots));
        self.loads
            .values()
            .any(|load| load.is_available(now) && load.total() < limit)
    }

    /// Records the end of a request on `upstream`.
    pub fn release(&mut self, upstream: &UpstreamName) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Initialises the loads at a takeover from the upstreams' own reports.
    ///
    /// Requests that an upstream reports beyond this owner's own were sent by a former owner.
    pub fn inherit_loads(&mut self, reported: &HashMap<UpstreamName, u64>) {
        for (name, load) in &mut self.loads {
            let reported = reported.get(name).copied().unwrap_or_default();
            load.inherited = reported.saturating_sub(load.in_flight);
            load.reported = reported;
        }
    }

    /// Sets the number of requests that former owners report to still have in flight.
    pub fn set_residuals(&mut self, residual: impl Fn(&UpstreamName) -> u64) {
        for (name, load) in &mut self.loads {
            load.residual = residual(name);
        }
    }

    /// Clears the loads that former owners left at the upstreams.
    pub fn clear_former_loads(&mut self) {
        for load in self.loads.values_mut() {
            load.inherited = 0;
            load.residual = 0;
        }
    }

    /// Updates the loads from the upstreams' own reports.
    pub fn update_reported(&mut self, reported: &HashMap<UpstreamName, u64>) {
        for (name, load) in &mut self.loads {
            if let Some(reported) = reported.get(name).copied() {
                load.reported = reported;
                load.inherited = load.inherited.min(reported.saturating_sub(load.in_flight));
            }
        }
    }

    /// Sets the epoch at a takeover.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    /// Marks the upstreams that are about to be removed according to the platform.
    pub fn set_leaving(&mut self, leaving: impl Fn(&UpstreamName) -> bool) {
        for (name, load) in &mut self.loads {
            load.leaving = load.removed || leaving(name);
        }
    }
}
