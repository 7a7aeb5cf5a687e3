//! Shards: groups of a pool's upstreams in one data centre, each owned by one daemon.

use {
    crate::{
        catalogue::UpstreamEntry,
        name::{DataCentre, PoolName},
        rendezvous,
    },
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Formatter},
        sync::Arc,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Id of a shard.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardId {
    /// The data centre of the shard's upstreams.
    pub data_centre: DataCentre,
    /// Number of the shard among those of the same pool and data centre, from 0.
    pub number: u32,
    /// The pool of the shard's upstreams.
    pub pool: PoolName,
}

impl ShardId {
    /// Returns a short hash of the id, which represents it in heartbeats.
    #[must_use]
    pub fn digest(&self) -> ShardDigest {
        ShardDigest(xxh3_64(self.to_string().as_bytes()))
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}#{}", self.pool, self.data_centre, self.number)
    }
}

/// Hash of a [`ShardId`], 64 bits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ShardDigest(pub u64);

/// One shard with its upstreams.
#[derive(Clone, Debug)]
pub struct PoolShard {
    /// The shard's id.
    pub id: ShardId,
    /// The shard's upstreams, sorted by name.
    pub upstreams: Vec<Arc<UpstreamEntry>>,
}

/// Splits the upstreams of `pool` in `data_centre` into shards of about `shard_size` upstreams.
///
/// The shard of an upstream depends only on its name and the number of shards, so that adding or
/// removing one upstream doesn't move the others. Empty shards are left out.
#[must_use]
pub fn split(
    pool: &PoolName,
    data_centre: &DataCentre,
    upstreams: &[Arc<UpstreamEntry>],
    shard_size: u32,
) -> Vec<PoolShard> {
    let size = usize::try_from(shard_size.max(1)).unwrap_or(usize::MAX);
    let numbers: Vec<String> = (0..upstreams.len().div_ceil(size))
        .map(|number| number.to_string())
        .collect();
    let mut shards: Vec<PoolShard> = (0..)
        .zip(&numbers)
        .map(|(number, _)| PoolShard {
            id: ShardId {
                data_centre: data_centre.clone(),
                number,
                pool: pool.clone(),
            },
            upstreams: Vec::new(),
        })
        .collect();
    for upstream in upstreams {
        let Some(number) = rendezvous::first(upstream.name.as_str(), &numbers) else {
            continue;
        };
        let Some(position) = numbers.iter().position(|candidate| candidate == number) else {
            continue;
        };
        shards[position].upstreams.push(Arc::clone(upstream));
    }
    shards.retain(|shard| !shard.upstreams.is_empty());
    shards
}

/// Returns the shards in order of preference for `key`.
///
/// Shards rank by the highest score of their upstreams for the key, so that a shard is first with a
/// probability in proportion to its number of upstreams.
#[must_use]
pub fn preference<'a>(key: &str, shards: &'a [PoolShard]) -> Vec<&'a PoolShard> {
    let best = |shard: &PoolShard| {
        shard
            .upstreams
            .iter()
            .map(|upstream| rendezvous::score(key, upstream.name.as_str()))
            .max()
    };
    let mut ranked: Vec<&PoolShard> = shards.iter().collect();
    ranked.sort_by_cached_key(|shard| std::cmp::Reverse(best(shard)));
    ranked
}
