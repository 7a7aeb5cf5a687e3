//! Incremental updates: derives a snapshot from its predecessor and the changed entries.

use {
    super::{CatalogueSnapshot, KeyDigest, SharedEntry},
    crate::{
        name::{DataCentre, PoolName},
        shard,
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Applies changes of single entries to a copy of a snapshot and keeps its indexes up to date.
#[derive(Debug)]
pub(super) struct SnapshotPatch {
    changed_groups: BTreeSet<(PoolName, DataCentre)>,
    snapshot: CatalogueSnapshot,
}

impl SnapshotPatch {
    /// Copies `snapshot` as the base of the snapshot of `revision`.
    pub(super) fn new(snapshot: &CatalogueSnapshot, revision: u64) -> Self {
        let mut snapshot = snapshot.clone();
        snapshot.revision = revision;
        Self {
            changed_groups: BTreeSet::new(),
            snapshot,
        }
    }

    /// Removes an entry.
    pub(super) fn remove(&mut self, entry: &SharedEntry) {
        let snapshot = &mut self.snapshot;
        match entry {
            SharedEntry::Class(entry) => {
                snapshot.classes.remove(&entry.name);
                if let Some(classes) = snapshot.classes_by_owner.get_mut(&entry.owner) {
                    classes.retain(|class| class.name != entry.name);
                    if classes.is_empty() {
                        snapshot.classes_by_owner.remove(&entry.owner);
                    }
                }
            }
            SharedEntry::DataCentre(entry) => {
                snapshot.data_centres.remove(&entry.name);
            }
            SharedEntry::Pool(entry) => {
                snapshot.pools.remove(&entry.name);
                self.mark_pool_changed(&entry.name);
            }
            SharedEntry::Upstream(entry) => {
                snapshot.upstreams.remove(&entry.name);
                let group = (entry.pool.clone(), entry.data_centre.clone());
                self.changed_groups.insert(group);
            }
            SharedEntry::Workspace(entry) => {
                snapshot.workspaces.remove(&entry.name);
                self.index_digest(&entry.key_sha256);
            }
        }
    }

    /// Adds an entry.
    pub(super) fn insert(&mut self, entry: &SharedEntry) {
        self.snapshot.insert(entry);
        match entry {
            SharedEntry::Class(entry) => {
                let classes = self
                    .snapshot
                    .classes_by_owner
                    .entry(entry.owner.clone())
                    .or_default();
                let position = classes.partition_point(|class| class.name < entry.name);
                classes.insert(position, Arc::clone(entry));
            }
            SharedEntry::DataCentre(_) => {}
            SharedEntry::Pool(entry) => self.mark_pool_changed(&entry.name),
            SharedEntry::Upstream(entry) => {
                let group = (entry.pool.clone(), entry.data_centre.clone());
                self.changed_groups.insert(group);
            }
            SharedEntry::Workspace(entry) => {
                self.index_digest(&entry.key_sha256);
            }
        }
    }

    /// Recomputes the shards of the changed groups (pool and data centre) and returns the snapshot.
    pub(super) fn finish(mut self) -> CatalogueSnapshot {
        for (name, data_centre) in std::mem::take(&mut self.changed_groups) {
            self.update_shards(&name, &data_centre);
        }
        self.snapshot
    }

    /// Updates the index for a digest. If several workspaces share it, the last by name is found.
    fn index_digest(&mut self, digest: &KeyDigest) {
        let mut workspaces = self.snapshot.workspaces.values().rev();
        let workspace = workspaces.find(|workspace| workspace.key_sha256 == *digest);
        let key = String::from(*digest);
        match workspace.cloned() {
            Some(workspace) => self.snapshot.workspaces_by_digest.insert(key, workspace),
            None => self.snapshot.workspaces_by_digest.remove(&key),
        };
    }

    fn mark_pool_changed(&mut self, pool: &PoolName) {
        let upstreams = self.snapshot.upstreams.values();
        let groups = upstreams
            .filter(|upstream| upstream.pool == *pool)
            .map(|upstream| (pool.clone(), upstream.data_centre.clone()));
        self.changed_groups.extend(groups);
    }

    fn update_shards(&mut self, name: &PoolName, data_centre: &DataCentre) {
        let snapshot = &mut self.snapshot;
        let upstreams: Vec<_> = snapshot
            .upstreams
            .values()
            .filter(|upstream| upstream.pool == *name && upstream.data_centre == *data_centre)
            .cloned()
            .collect();
        let pool = snapshot.pools.get(name);
        let Some(pool) = pool.filter(|_| !upstreams.is_empty()) else {
            if let Some(shards) = snapshot.shards.get_mut(name) {
                shards.remove(data_centre);
            }
            return;
        };
        let shards = shard::split(name, data_centre, &upstreams, pool.shard_size);
        let pool_shards = snapshot.shards.entry(name.clone()).or_default();
        pool_shards.insert(data_centre.clone(), shards);
    }
}
