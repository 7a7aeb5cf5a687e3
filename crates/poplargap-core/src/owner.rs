//! The owner of a shard: exact loads of its upstreams and the placement of requests on them.

mod place_request;
mod policy;
mod shard_owner;
mod upstream_load;

pub use {
    place_request::PlaceRequest,
    policy::{
        AffinityPolicy, HashPolicy, LeastLoadPolicy, PlacementPolicy, PolicyChoice, PolicyKind,
        RandomPolicy,
    },
    shard_owner::{PlaceRefusal, PoolLoad, ShardOwner},
    upstream_load::{UpstreamHealth, UpstreamLoad},
};
