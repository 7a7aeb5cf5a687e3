//! Sets of entries, indexed by kind and name.

use {
    super::{CatalogueEntry, EntryKind, EntryRef},
    std::collections::{BTreeMap, btree_map},
};

/// Entries sorted by kind and name, at most one for each reference.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntrySet(BTreeMap<EntryRef, CatalogueEntry>);

impl EntrySet {
    /// Returns the entry that `entry` refers to.
    #[must_use]
    pub fn get(&self, entry: &EntryRef) -> Option<&CatalogueEntry> {
        self.0.get(entry)
    }

    /// Adds an entry; replaces one with the same kind and name.
    pub fn insert(&mut self, entry: CatalogueEntry) {
        self.0.insert(entry.entry_ref(), entry);
    }

    /// Returns the entries, sorted by kind and name.
    pub fn iter(&self) -> btree_map::Iter<'_, EntryRef, CatalogueEntry> {
        self.0.iter()
    }

    /// Returns the names of all entries of `kind`, sorted.
    pub fn names(&self, kind: EntryKind) -> impl Iterator<Item = &str> {
        self.0
            .keys()
            .filter(move |entry| entry.kind == kind)
            .map(|entry| entry.name.as_str())
    }

    /// Removes and returns the entry that `entry` refers to.
    pub fn remove(&mut self, entry: &EntryRef) -> Option<CatalogueEntry> {
        self.0.remove(entry)
    }
}

impl FromIterator<CatalogueEntry> for EntrySet {
    fn from_iter<I: IntoIterator<Item = CatalogueEntry>>(iter: I) -> Self {
        Self(
            iter.into_iter()
                .map(|entry| (entry.entry_ref(), entry))
                .collect(),
        )
    }
}

impl<'a> IntoIterator for &'a EntrySet {
    type IntoIter = btree_map::Iter<'a, EntryRef, CatalogueEntry>;
    type Item = (&'a EntryRef, &'a CatalogueEntry);

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
