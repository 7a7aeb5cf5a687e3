//! Reference-counted entries, shared between snapshots of the catalogue.

use {
    super::{
        CatalogueEntry, ClassEntry, DataCentreEntry, PoolEntry, UpstreamEntry, WorkspaceEntry,
    },
    std::sync::Arc,
};

/// A catalogue entry of any kind, shared by all snapshots that contain it.
#[derive(Clone, Debug, PartialEq)]
pub enum SharedEntry {
    /// A class of requests.
    Class(Arc<ClassEntry>),
    /// A data centre.
    DataCentre(Arc<DataCentreEntry>),
    /// A pool.
    Pool(Arc<PoolEntry>),
    /// An upstream.
    Upstream(Arc<UpstreamEntry>),
    /// A workspace.
    Workspace(Arc<WorkspaceEntry>),
}

impl From<CatalogueEntry> for SharedEntry {
    fn from(entry: CatalogueEntry) -> Self {
        match entry {
            CatalogueEntry::Class(entry) => Self::Class(Arc::new(entry)),
            CatalogueEntry::DataCentre(entry) => Self::DataCentre(Arc::new(entry)),
            CatalogueEntry::Pool(entry) => Self::Pool(Arc::new(entry)),
            CatalogueEntry::Upstream(entry) => Self::Upstream(Arc::new(entry)),
            CatalogueEntry::Workspace(entry) => Self::Workspace(Arc::new(entry)),
        }
    }
}
