//! The catalogue in force in one process, indexed for lookups.

use {
    super::{
        BucketRecord, CatalogueEntry, ClassEntry, DataCentreEntry, KeyDigest, PoolEntry,
        UpstreamEntry, WorkspaceEntry,
    },
    crate::name::{ClassName, DataCentre, PoolName, UpstreamName, WorkspaceName},
    std::{collections::BTreeMap, sync::Arc},
};

/// Entries of all kinds at one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct CatalogueSnapshot {
    /// Classes of work by name.
    pub classes: BTreeMap<ClassName, Arc<ClassEntry>>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentre, Arc<DataCentreEntry>>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Arc<PoolEntry>>,
    /// The store's revision that the entries stand for.
    pub revision: u64,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, Arc<UpstreamEntry>>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<WorkspaceEntry>>,
}

impl CatalogueSnapshot {
    /// Builds the snapshot of `buckets` at `revision`.
    pub fn from_buckets<'a>(
        revision: u64,
        buckets: impl IntoIterator<Item = &'a BucketRecord>,
    ) -> Self {
        let mut snapshot = Self {
            revision,
            ..Self::default()
        };
        buckets
            .into_iter()
            .flat_map(|bucket| bucket.entries.values())
            .filter_map(|record| record.entry.as_ref())
            .for_each(|entry| snapshot.insert(entry));
        snapshot
    }

    /// Returns the classes that `workspace` owns for `pool`.
    pub fn classes_of<'a>(
        &'a self,
        workspace: &'a WorkspaceName,
        pool: &'a PoolName,
    ) -> impl Iterator<Item = &'a Arc<ClassEntry>> {
        self.classes
            .values()
            .filter(move |class| class.owner == *workspace && class.pool == *pool)
    }

    /// Adds an entry, replacing the one of the same kind and name.
    pub fn insert(&mut self, entry: &CatalogueEntry) {
        match entry.clone() {
            CatalogueEntry::Class(entry) => {
                self.classes.insert(entry.name.clone(), Arc::new(entry));
            }
            CatalogueEntry::DataCentre(entry) => {
                self.data_centres
                    .insert(entry.name.clone(), Arc::new(entry));
            }
            CatalogueEntry::Pool(entry) => {
                self.pools.insert(entry.name.clone(), Arc::new(entry));
            }
            CatalogueEntry::Upstream(entry) => {
                self.upstreams.insert(entry.name.clone(), Arc::new(entry));
            }
            CatalogueEntry::Workspace(entry) => {
                self.workspaces.insert(entry.name.clone(), Arc::new(entry));
            }
        }
    }

    /// Returns the upstreams of `pool` in `data_centre`, by name.
    pub fn upstreams_of<'a>(
        &'a self,
        pool: &'a PoolName,
        data_centre: &'a DataCentre,
    ) -> impl Iterator<Item = &'a Arc<UpstreamEntry>> {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.pool == *pool && upstream.data_centre == *data_centre)
    }

    /// Returns the workspace whose bearer key has `digest`.
    #[must_use]
    pub fn workspace_of_key(&self, digest: &KeyDigest) -> Option<&Arc<WorkspaceEntry>> {
        self.workspaces
            .values()
            .find(|workspace| workspace.key_sha256 == *digest)
    }
}
