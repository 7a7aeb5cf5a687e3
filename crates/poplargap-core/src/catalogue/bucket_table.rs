//! Buckets of the catalogue as one process has seen them; none ever goes back.

use {
    super::{BucketRecord, CatalogueSnapshot, SharedEntry, snapshot_patch::SnapshotPatch},
    displaydoc::Display,
    std::{collections::BTreeMap, mem, sync::Arc},
};

/// Most changed buckets for which the last snapshot is patched instead of a new one built.
const CHANGES_PATCHED_MAX: usize = 64;

/// A bucket that can't be taken in.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum BucketError {
    /// the value of `{key}` can't be read: {message}
    Malformed {
        /// The bucket's key.
        key: String,
        /// What the reader says.
        message: String,
    },
}

impl std::error::Error for BucketError {}

/// One bucket at the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedBucket {
    /// The bucket's entries, without removed ones.
    pub entries: Vec<SharedEntry>,
    /// Revision of the last change.
    pub revision: u64,
    /// The value as the store keeps it.
    pub value: String,
}

/// Entries of one bucket before and after a change.
#[derive(Clone, Debug)]
struct BucketChange {
    after: Vec<SharedEntry>,
    before: Vec<SharedEntry>,
}

/// All buckets, and the revision up to which they are complete.
#[derive(Clone, Debug, Default)]
pub struct BucketTable {
    buckets: BTreeMap<String, VersionedBucket>,
    changes: Vec<BucketChange>,
    revision: u64,
    snapshot: Arc<CatalogueSnapshot>,
}

impl BucketTable {
    /// Takes in a bucket unless a later one is known; returns whether the table changed.
    ///
    /// # Errors
    ///
    /// Returns an error when the value can't be read; the table then keeps the bucket it has.
    pub fn accept(&mut self, key: &str, revision: u64, value: &str) -> Result<bool, BucketError> {
        if self
            .buckets
            .get(key)
            .is_some_and(|bucket| bucket.revision >= revision)
        {
            return Ok(false);
        }
        let record: BucketRecord =
            serde_json::from_str(value).map_err(|source| BucketError::Malformed {
                key: key.to_owned(),
                message: source.to_string(),
            })?;
        let entries: Vec<SharedEntry> = record
            .entries
            .into_values()
            .filter_map(|record| record.entry)
            .map(SharedEntry::from)
            .collect();
        let bucket = VersionedBucket {
            entries: entries.clone(),
            revision,
            value: value.to_owned(),
        };
        let before = self.buckets.insert(key.to_owned(), bucket);
        self.changes.push(BucketChange {
            after: entries,
            before: before.map(|bucket| bucket.entries).unwrap_or_default(),
        });
        Ok(true)
    }

    /// Declares the table complete up to `revision`; an older revision changes nothing.
    pub fn complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the revision up to which the table is complete.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns buckets that changed after `revision`, in the order of their keys after `after`.
    pub fn since<'a>(
        &'a self,
        revision: u64,
        after: Option<&'a str>,
    ) -> impl Iterator<Item = (&'a str, &'a VersionedBucket)> {
        self.buckets
            .iter()
            .map(|(key, bucket)| (key.as_str(), bucket))
            .filter(move |(key, _)| after.is_none_or(|after| *key > after))
            .filter(move |(_, bucket)| bucket.revision > revision)
    }

    /// Returns the snapshot of all buckets, made from the last one when few buckets changed.
    pub fn snapshot(&mut self) -> Arc<CatalogueSnapshot> {
        let changes = mem::take(&mut self.changes);
        let snapshot = if changes.len() <= CHANGES_PATCHED_MAX {
            self.patch(&changes)
        } else {
            let entries = self.buckets.values().flat_map(|bucket| &bucket.entries);
            CatalogueSnapshot::from_entries(self.revision, entries)
        };
        self.snapshot = Arc::new(snapshot);
        Arc::clone(&self.snapshot)
    }

    fn patch(&self, changes: &[BucketChange]) -> CatalogueSnapshot {
        let mut patch = SnapshotPatch::new(&self.snapshot, self.revision);
        for change in changes {
            let removed = change.before.iter();
            removed
                .filter(|entry| !change.after.contains(entry))
                .for_each(|entry| patch.remove(entry));
            let added = change.after.iter();
            added
                .filter(|entry| !change.before.contains(entry))
                .for_each(|entry| patch.insert(entry));
        }
        patch.finish()
    }
}
