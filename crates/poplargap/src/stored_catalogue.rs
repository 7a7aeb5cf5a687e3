//! The catalogue in the store, with the entries' versions.

use {
    crate::EntryVersion,
    poplargap_core::catalogue::{CatalogueEntry, EntryRecord, EntryRef, EntrySet},
    std::collections::BTreeMap,
};

/// The records of all entries, including removed ones, sorted by kind and name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredCatalogue(BTreeMap<EntryRef, EntryRecord>);

impl StoredCatalogue {
    /// Returns the entries in force.
    #[must_use]
    pub fn entries(&self) -> EntrySet {
        self.0
            .values()
            .filter_map(|record| record.entry.clone())
            .collect()
    }

    /// Returns the content of an entry in force.
    #[must_use]
    pub fn content(&self, entry: &EntryRef) -> Option<&CatalogueEntry> {
        self.0.get(entry)?.entry.as_ref()
    }

    /// Adds a record, replacing that of the same entry.
    pub fn insert(&mut self, entry: EntryRef, record: EntryRecord) {
        self.0.insert(entry, record);
    }

    /// Returns an entry's record, even if the entry has been removed.
    #[must_use]
    pub fn record(&self, entry: &EntryRef) -> Option<&EntryRecord> {
        self.0.get(entry)
    }

    /// Returns all records, including those of removed entries.
    pub fn records(&self) -> impl Iterator<Item = (&EntryRef, &EntryRecord)> {
        self.0.iter()
    }

    /// Returns an entry's version in force.
    #[must_use]
    pub fn version(&self, entry: &EntryRef) -> EntryVersion {
        EntryVersion::from(self.record(entry))
    }
}
