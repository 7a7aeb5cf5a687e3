//! Members and shards of the own data centre, as one daemon knows them.

use {
    poplargap_core::{
        collections::HashMap,
        membership::{MemberReport, MemberState},
        name::DaemonName,
        owner::PoolLoad,
        rendezvous,
        shard::{PoolShard, ShardDigest, ShardId},
    },
    poplargap_link::heartbeat::ShardReport,
};

/// A peer's report of one shard.
#[derive(Clone, Debug)]
pub struct PeerShard {
    /// The reporting peer.
    pub daemon: DaemonName,
    /// The report.
    pub report: ShardReport,
}

/// Ready members and their shards at one moment.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// Total load of each pool in all other data centres, by the hash of the pool's name.
    pub remote_loads: HashMap<u64, PoolLoad>,
    /// The daemon's report of itself.
    pub own: MemberReport,
    /// All members with a recent heartbeat, except the daemon itself.
    pub peers: Vec<MemberReport>,
    /// Ready members sorted by name, including the daemon itself when it is ready.
    pub ready: Vec<MemberReport>,
    /// Peers' reports of shards, by the shard's digest.
    pub shards: HashMap<ShardDigest, Vec<PeerShard>>,
}

impl MemberView {
    /// Returns the shard's owner, or `None` when no member is ready.
    #[must_use]
    pub fn owner_of(&self, shard: &ShardId) -> Option<&MemberReport> {
        self.member_for_key(&shard.to_string())
    }

    /// Returns the ready member that ranks first for `key` by rendezvous hashing.
    #[must_use]
    pub fn member_for_key(&self, key: &str) -> Option<&MemberReport> {
        let name = rendezvous::first(key, self.ready.iter().map(|member| &member.name))?;
        self.ready.iter().find(|member| member.name == *name)
    }

    /// Returns whether the daemon itself is ready and the shard's owner.
    #[must_use]
    pub fn is_owner_of(&self, shard: &ShardId) -> bool {
        self.own.state == MemberState::Ready
            && self
                .owner_of(shard)
                .is_some_and(|member| member.name == self.own.name)
    }

    /// Returns the highest epoch that a peer reports for a shard, or 0.
    #[must_use]
    pub fn highest_epoch(&self, shard: &ShardId) -> u64 {
        let reports = self.shards.get(&shard.digest()).into_iter().flatten();
        reports
            .map(|peer| peer.report.epoch)
            .max()
            .unwrap_or_default()
    }

    /// Returns the requests in flight at an upstream that former owners of the shard report.
    #[must_use]
    pub fn residual_of(&self, shard: &ShardId, upstream: u64) -> u64 {
        let reports = self.shards.get(&shard.digest()).into_iter().flatten();
        reports
            .flat_map(|peer| &peer.report.residuals)
            .filter(|residual| residual.upstream == upstream)
            .map(|residual| u64::from(residual.in_flight))
            .sum()
    }

    /// Returns the total load of `shards` that their owners report.
    pub fn load_of<'a>(&self, shards: impl Iterator<Item = &'a PoolShard>) -> PoolLoad {
        let reports = shards
            .filter_map(|shard| self.shards.get(&shard.id.digest()))
            .flatten()
            .map(|peer| &peer.report)
            .filter(|report| report.is_owner);
        reports.fold(PoolLoad::default(), |load, report| PoolLoad {
            in_flight: load.in_flight + u64::from(report.in_flight),
            upstreams: load.upstreams + u64::from(report.upstreams),
        })
    }
}
