//! Snapshots of the catalogue, indexed for lookups by the processes that use it.

use {
    super::{
        ClassEntry, DataCentreEntry, KeyDigest, PoolEntry, SharedEntry, UpstreamEntry,
        WorkspaceEntry,
    },
    crate::{
        collections::HashMap,
        name::{ClassName, DataCentre, PoolName, UpstreamName, WorkspaceName},
        shard::{self, PoolShard},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// All entries at one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct CatalogueSnapshot {
    /// Classes by name.
    pub classes: BTreeMap<ClassName, Arc<ClassEntry>>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentre, Arc<DataCentreEntry>>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Arc<PoolEntry>>,
    /// Store revision of the entries.
    pub revision: u64,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, Arc<UpstreamEntry>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<WorkspaceEntry>>,
    pub(super) classes_by_owner: HashMap<WorkspaceName, Vec<Arc<ClassEntry>>>,
    pub(super) shards: HashMap<PoolName, BTreeMap<DataCentre, Vec<PoolShard>>>,
    pub(super) workspaces_by_digest: HashMap<String, Arc<WorkspaceEntry>>,
}

impl CatalogueSnapshot {
    /// Builds the snapshot of `entries` at `revision`.
    pub fn from_entries<'a>(
        revision: u64,
        entries: impl IntoIterator<Item = &'a SharedEntry>,
    ) -> Self {
        let mut snapshot = Self {
            revision,
            ..Self::default()
        };
        entries.into_iter().for_each(|entry| snapshot.insert(entry));
        snapshot.index();
        snapshot
    }

    /// Returns the classes of `workspace` that `pool` serves.
    pub fn classes_of<'a>(
        &'a self,
        workspace: &WorkspaceName,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = &'a Arc<ClassEntry>> {
        self.classes_by_owner
            .get(workspace)
            .into_iter()
            .flatten()
            .filter(move |class| class.pool == *pool)
    }

    /// Returns the data centres that have shards of `pool`.
    pub fn data_centres_of(&self, pool: &PoolName) -> impl Iterator<Item = &DataCentre> {
        self.shards.get(pool).into_iter().flat_map(BTreeMap::keys)
    }

    /// Returns the shards of `pool` in `data_centre`.
    #[must_use]
    pub fn shards_of(&self, pool: &PoolName, data_centre: &DataCentre) -> &[PoolShard] {
        self.shards
            .get(pool)
            .and_then(|shards| shards.get(data_centre))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the shards of all pools in `data_centre`.
    pub fn shards_in<'a>(
        &'a self,
        data_centre: &'a DataCentre,
    ) -> impl Iterator<Item = &'a PoolShard> {
        self.shards
            .values()
            .filter_map(move |shards| shards.get(data_centre))
            .flatten()
    }

    /// Returns the workspace whose bearer key has `digest`.
    #[must_use]
    pub fn workspace_of_key(&self, digest: &KeyDigest) -> Option<&Arc<WorkspaceEntry>> {
        self.workspaces_by_digest
            .get(&String::from(*digest))
            .filter(|workspace| workspace.key_sha256 == *digest)
    }

    fn index(&mut self) {
        for class in self.classes.values() {
            let classes = self
                .classes_by_owner
                .entry(class.owner.clone())
                .or_default();
            classes.push(Arc::clone(class));
        }
        for workspace in self.workspaces.values() {
            let digest = String::from(workspace.key_sha256);
            self.workspaces_by_digest
                .insert(digest, Arc::clone(workspace));
        }
        let mut groups: BTreeMap<(&PoolName, &DataCentre), Vec<Arc<UpstreamEntry>>> =
            BTreeMap::new();
        for upstream in self.upstreams.values() {
            let group = groups
                .entry((&upstream.pool, &upstream.data_centre))
                .or_default();
            group.push(Arc::clone(upstream));
        }
        for ((name, data_centre), upstreams) in groups {
            let Some(pool) = self.pools.get(name) else {
                continue;
            };
            let shards = shard::split(name, data_centre, &upstreams, pool.shard_size);
            let pool_shards = self.shards.entry(name.clone()).or_default();
            pool_shards.insert(data_centre.clone(), shards);
        }
    }

    /// Adds an entry without updating the indexes.
    pub(super) fn insert(&mut self, entry: &SharedEntry) {
        match entry {
            SharedEntry::Class(entry) => {
                self.classes.insert(entry.name.clone(), Arc::clone(entry));
            }
            SharedEntry::DataCentre(entry) => {
                self.data_centres
                    .insert(entry.name.clone(), Arc::clone(entry));
            }
            SharedEntry::Pool(entry) => {
                self.pools.insert(entry.name.clone(), Arc::clone(entry));
            }
            SharedEntry::Upstream(entry) => {
                self.upstreams.insert(entry.name.clone(), Arc::clone(entry));
            }
            SharedEntry::Workspace(entry) => {
                self.workspaces
                    .insert(entry.name.clone(), Arc::clone(entry));
            }
        }
    }
}
