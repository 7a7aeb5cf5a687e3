//! One edit of one entry.

use {
    crate::{EntryVersion, WriteId},
    poplargap_core::catalogue::{CatalogueEntry, EntryRecord, EntryRef},
};

/// One edit of one entry, based on a version that the operator has read.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryEdit {
    /// The version that the edit replaces.
    pub base: EntryVersion,
    /// The new content, or `None` to remove the entry.
    pub content: Option<CatalogueEntry>,
    /// The entry.
    pub entry: EntryRef,
    /// Id of the edit's write.
    pub write_id: WriteId,
}

impl EntryEdit {
    /// Returns the record that the edit writes.
    #[must_use]
    pub fn record(&self) -> EntryRecord {
        EntryRecord {
            entry: self.content.clone(),
            version: self.version(),
            write_id: self.write_id.as_str().to_owned(),
        }
    }

    /// Returns the number of the version that the edit makes.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.base.version.saturating_add(1)
    }
}
