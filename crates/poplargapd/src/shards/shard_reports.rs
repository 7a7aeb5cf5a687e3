//! Load reports of the shard actor, for heartbeats and metrics.

use {
    super::{ShardActor, owned_shard::OwnerPhase},
    poplargap_core::{instant::MonotonicInstant, name::PoolName, owner::ShardOwner, rendezvous},
    poplargap_link::heartbeat::{PoolSummary, ResidualLoad, ShardReport},
    std::sync::Arc,
};

impl ShardActor {
    /// Returns the loads of all pools in the own data centre.
    fn summaries(&self) -> Vec<PoolSummary> {
        let catalogue = Arc::clone(&self.inputs.catalogue.borrow());
        let local = catalogue.pools.keys().filter(|pool| {
            let shards = catalogue.shards_of(pool, &self.settings.data_centre);
            !shards.is_empty()
        });
        local
            .map(|pool| {
                let load = self.local_load(pool, None);
                PoolSummary {
                    in_flight: u32::try_from(load.in_flight).unwrap_or(u32::MAX),
                    pool: pool_digest(pool),
                    upstreams: u32::try_from(load.upstreams).unwrap_or(u32::MAX),
                }
            })
            .collect()
    }

    /// Publishes the shards' loads for heartbeats and metrics.
    pub(super) fn publish_reports(&mut self, now: MonotonicInstant) {
        let mut reports: Vec<ShardReport> = Vec::new();
        let in_flight: u64 = self
            .shards
            .values()
            .map(|owned| owned.owner.in_flight())
            .sum();
        self.inputs
            .metrics
            .owned_in_flight
            .set(i64::try_from(in_flight).unwrap_or(i64::MAX));
        for (id, owned) in &self.shards {
            let is_active = owned.phase == OwnerPhase::Active;
            let load = owned.owner.load(now);
            let residuals = if is_active {
                Vec::new()
            } else {
                residuals(&owned.owner)
            };
            for load in owned.owner.loads() {
                let in_flight = i64::try_from(load.in_flight).unwrap_or(i64::MAX);
                self.inputs
                    .metrics
                    .upstream_load
                    .with_label_values(&[load.entry.name.as_str()])
                    .set(in_flight);
            }
            reports.push(ShardReport {
                digest: id.digest(),
                epoch: owned.owner.epoch(),
                is_owner: owned.phase != OwnerPhase::Former,
                in_flight: u32::try_from(load.in_flight).unwrap_or(u32::MAX),
                residuals,
                upstreams: u32::try_from(load.upstreams).unwrap_or(u32::MAX),
            });
        }
        reports.sort_by_key(|report| report.digest);
        self.inputs.reports.send_replace(reports);
        let pools = self.summaries();
        self.inputs.pools.send_replace(pools);
    }
}

/// Returns the hash of a pool's name that identifies it in a [`PoolSummary`].
pub(super) fn pool_digest(pool: &PoolName) -> u64 {
    rendezvous::score("pool", pool.as_str())
}

fn residuals(owner: &ShardOwner) -> Vec<ResidualLoad> {
    owner
        .loads()
        .filter(|load| load.in_flight > 0)
        .map(|load| ResidualLoad {
            in_flight: u32::try_from(load.in_flight).unwrap_or(u32::MAX),
            upstream: upstream_digest(&load.entry.name),
        })
        .collect()
}

/// Returns the hash of an upstream's name that identifies it in a [`ResidualLoad`].
pub(super) fn upstream_digest(upstream: impl AsRef<str>) -> u64 {
    rendezvous::score("upstream", upstream.as_ref())
}
