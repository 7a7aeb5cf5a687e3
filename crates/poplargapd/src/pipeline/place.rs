//! Finds the shards that may serve a request, in order of preference, and their owners.

use {
    super::RequestContext,
    poplargap_core::{
        catalogue::CatalogueSnapshot,
        collections::{HashMap, HashMapExt},
        name::{DataCentre, PoolName, UpstreamName},
        rendezvous,
        shard::{self, PoolShard, ShardId},
    },
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
    },
};

use super::RouteHint;

/// Where a shard's owner is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerLocation {
    /// This daemon.
    Local,
    /// The relay listener of another daemon.
    Remote(SocketAddr),
    /// No owner is known.
    Unknown,
}

/// One shard that may serve a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The shard.
    pub shard: ShardId,
}

/// Relay addresses of shard owners in other data centres, as last reported.
#[derive(Debug)]
pub struct OwnerDirectory(Mutex<HashMap<ShardId, SocketAddr>>);

impl Default for OwnerDirectory {
    fn default() -> Self {
        Self(Mutex::new(HashMap::new()))
    }
}

impl OwnerDirectory {
    fn find(&self, shard: &ShardId) -> Option<SocketAddr> {
        let owners = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        owners.get(shard).copied()
    }

    /// Sets the relay address of a shard's owner.
    pub fn insert(&self, shard: &ShardId, owner: SocketAddr) {
        let mut owners = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        owners.insert(shard.clone(), owner);
    }

    /// Removes an owner that didn't answer or has changed.
    pub fn remove(&self, shard: &ShardId) {
        let mut owners = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        owners.remove(shard);
    }
}

/// Returns the shards of `pool` in the order in which a request tries them.
///
/// The hinted upstream's shard comes first, then the own data centre's shards, then the others'.
pub(super) fn candidates(
    catalogue: &CatalogueSnapshot,
    own: &DataCentre,
    pool: &PoolName,
    key: &str,
    hint: Option<&RouteHint>,
) -> Vec<Placement> {
    let mut remote: Vec<&DataCentre> = catalogue
        .data_centres_of(pool)
        .filter(|name| *name != own)
        .collect();
    remote.sort_by_key(|name| std::cmp::Reverse(rendezvous::score(key, name.as_str())));
    let mut placements: Vec<Placement> = std::iter::once(own)
        .chain(remote)
        .flat_map(|data_centre| shard::preference(key, catalogue.shards_of(pool, data_centre)))
        .map(|shard| Placement {
            shard: shard.id.clone(),
        })
        .collect();
    if let Some(shard) = hint.and_then(|hint| shard_of(catalogue, pool, hint)) {
        placements.sort_by_key(|placement| placement.shard != shard.id);
    }
    placements
}

fn shard_of<'a>(
    catalogue: &'a CatalogueSnapshot,
    pool: &PoolName,
    hint: &RouteHint,
) -> Option<&'a PoolShard> {
    let contains = |shard: &&PoolShard| {
        shard
            .upstreams
            .iter()
            .any(|upstream| upstream.name == hint.upstream)
    };
    catalogue
        .shards_of(pool, &hint.data_centre)
        .iter()
        .find(contains)
}

/// Returns the upstream that a hint names, if it belongs to `pool`.
pub(super) fn hinted_upstream(
    catalogue: &CatalogueSnapshot,
    pool: &PoolName,
    hint: Option<&RouteHint>,
) -> Option<UpstreamName> {
    let hint = hint?;
    shard_of(catalogue, pool, hint).map(|_| hint.upstream.clone())
}

impl<S> RequestContext<S> {
    /// Finds the owner of a shard.
    pub(super) async fn locate_owner(&self, shard: &ShardId) -> OwnerLocation {
        if shard.data_centre == self.data_centre {
            return self.locate_local_owner(shard);
        }
        if let Some(owner) = self.owners.find(shard) {
            return OwnerLocation::Remote(owner);
        }
        let daemons = self.vms.borrow().daemons.get(&shard.data_centre).cloned();
        for peer in daemons.unwrap_or_default() {
            if let Some(owner) = self.peers.owner_of(peer, shard).await {
                self.owners.insert(shard, owner);
                return OwnerLocation::Remote(owner);
            }
        }
        OwnerLocation::Unknown
    }

    fn locate_local_owner(&self, shard: &ShardId) -> OwnerLocation {
        if !self.has_owners {
            return OwnerLocation::Local;
        }
        let members = self.members.borrow();
        match members.owner_of(shard) {
            Some(member) if member.name == members.own.name => OwnerLocation::Local,
            Some(member) => OwnerLocation::Remote(member.relay),
            None => OwnerLocation::Unknown,
        }
    }
}
