//! The home of a shard: exact loads of its upstreams and the choice among them.

mod candidate;
mod policy;
mod shard_owner;
mod upstream_load;

pub use {
    candidate::PlaceRequest,
    policy::{
        AffinityPolicy, HashPolicy, LeastLoadPolicy, PlacementPolicy, PolicyChoice, PolicyKind,
        RandomPolicy,
    },
    shard_owner::{PlaceRefusal, PoolLoad, ShardOwner},
    upstream_load::{UpstreamHealth, UpstreamLoad},
};
