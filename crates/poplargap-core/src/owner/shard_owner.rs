//! State of one shard at its home daemon.

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

/// Why no upstream of the shard takes a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PlaceRefusal {
    /// every upstream of the shard is at its bound
    Full,
    /// no upstream of the shard is up and serving
    NoUpstream,
}

impl std::error::Error for PlaceRefusal {}

/// Load and open upstreams of a pool's other shards.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// Requests in flight.
    pub in_flight: u64,
    /// Upstreams that take work.
    pub upstreams: u64,
}

impl PoolLoad {
    /// Returns both loads together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight + other.in_flight,
            upstreams: self.upstreams + other.upstreams,
        }
    }
}

/// Exact loads of a shard's upstreams and the choice among them.
#[derive(Debug)]
pub struct ShardOwner {
    epoch: u64,
    loads: LoadTable,
    pool: Arc<PoolEntry>,
}

impl ShardOwner {
    /// Creates the home of a shard at `epoch`.
    #[must_use]
    pub fn new(epoch: u64, pool: Arc<PoolEntry>, shard: &PoolShard) -> Self {
        let mut home = Self {
            epoch,
            loads: LoadTable::new(),
            pool,
        };
        home.set_upstreams(shard);
        home
    }

    /// Returns the number that orders the homes of this shard over time.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the requests that this home itself has in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.loads.values().map(|load| load.in_flight).sum()
    }

    /// Returns the load of the whole shard.
    #[must_use]
    pub fn load(&self, now: MonotonicInstant) -> PoolLoad {
        let in_flight = self.loads.values().map(UpstreamLoad::total).sum();
        let open = self
            .loads
            .values()
            .filter(|load| load.is_available(now))
            .count();
        let upstreams = u64::try_from(open).unwrap_or(u64::MAX);
        PoolLoad {
            in_flight,
            upstreams,
        }
    }

    /// Returns the loads of single upstreams.
    pub fn loads(&self) -> impl Iterator<Item = &UpstreamLoad> {
        self.loads.values()
    }

    /// Returns one upstream's record for changing it.
    pub fn load_mut(&mut self, upstream: &UpstreamName) -> Option<&mut UpstreamLoad> {
        self.loads.get_mut(upstream)
    }

    /// Takes over a changed pool entry.
    pub fn set_pool(&mut self, pool: Arc<PoolEntry>) {
        self.pool = pool;
    }

    /// Takes over the shard's upstreams from a changed catalogue, keeping loads.
    ///
    /// An upstream that left the catalogue stays, without new work, until its requests end.
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

    /// Returns the most requests that one upstream may carry with one request more in the pool.
    #[must_use]
    pub fn bound(&self, others: PoolLoad, now: MonotonicInstant) -> u64 {
        let own = self.load(now);
        let load = own.in_flight + others.in_flight + 1;
        let multiple: LoadMultiple = self.pool.multiple;
        multiple.bound(load, own.upstreams + others.upstreams)
    }

    /// Chooses an upstream and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns why no upstream takes the request.
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
        let mut open: Vec<&UpstreamLoad> = self
            .loads
            .values()
            .filter(|load| load.is_available(now) && !request.avoid.contains(&load.entry.name))
            .collect();
        if open.is_empty() {
            return Err(PlaceRefusal::NoUpstream);
        }
        open.retain(|load| load.total() < slots && (!P::BOUNDED || load.total() < bound));
        open.sort_by(|a, b| a.entry.name.cmp(&b.entry.name));
        let Some(name) = policy.choose(request, &open, random) else {
            return Err(PlaceRefusal::Full);
        };
        policy.remember(request, &name);
        if let Some(load) = self.loads.get_mut(&name) {
            load.in_flight += 1;
        }
        Ok(name)
    }

    /// Returns whether some upstream may take one request more.
    #[must_use]
    pub fn has_room(&self, others: PoolLoad, now: MonotonicInstant) -> bool {
        let limit = self.bound(others, now).min(u64::from(self.pool.slots));
        self.loads
            .values()
            .any(|load| load.is_available(now) && load.total() < limit)
    }

    /// Counts a request as ended.
    pub fn release(&mut self, upstream: &UpstreamName) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Starts from the loads that the upstreams themselves report.
    ///
    /// What an upstream reports above this home's own requests was sent by a former home.
    pub fn inherit_loads(&mut self, reported: &HashMap<UpstreamName, u64>) {
        for (name, load) in &mut self.loads {
            let reported = reported.get(name).copied().unwrap_or_default();
            load.inherited = reported.saturating_sub(load.in_flight);
            load.reported = reported;
        }
    }

    /// Notes what former homes say that they still have at the upstreams.
    pub fn set_residuals(&mut self, residual: impl Fn(&UpstreamName) -> u64) {
        for (name, load) in &mut self.loads {
            load.residual = residual(name);
        }
    }

    /// Forgets what former homes had at the upstreams.
    pub fn clear_former_loads(&mut self) {
        for load in self.loads.values_mut() {
            load.inherited = 0;
            load.residual = 0;
        }
    }

    /// Notes the upstreams' own reports of their loads.
    pub fn update_reported(&mut self, reported: &HashMap<UpstreamName, u64>) {
        for (name, load) in &mut self.loads {
            if let Some(reported) = reported.get(name).copied() {
                load.reported = reported;
                load.inherited = load.inherited.min(reported.saturating_sub(load.in_flight));
            }
        }
    }

    /// Changes the epoch at a takeover.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    /// Notes which upstreams the platform says are leaving.
    pub fn set_leaving(&mut self, leaving: impl Fn(&UpstreamName) -> bool) {
        for (name, load) in &mut self.loads {
            load.leaving = load.removed || leaving(name);
        }
    }
}
