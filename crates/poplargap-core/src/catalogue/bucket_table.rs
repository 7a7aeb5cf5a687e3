//! Buckets that one process has received; a bucket is never replaced by an older revision.

use {
    super::{BucketRecord, CatalogueSnapshot, SharedEntry, snapshot_patch::SnapshotPatch},
    displaydoc::Display,
    std::{collections::BTreeMap, mem, sync::Arc},
};

/// Up to this many changed buckets, the last snapshot is patched; above it, a new one is built.
const PATCHED_BUCKETS_MAX: usize = 64;

/// Reason why a bucket is rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum BucketError {
    /// the value of `{key}` can't be read: {message}
    Malformed {
        /// Store key of the bucket.
        key: String,
        /// Message of the JSON parser.
        message: String,
    },
}

impl std::error::Error for BucketError {}

/// A bucket and the store revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedBucket {
    /// Current entries of the bucket; removed entries are left out.
    pub entries: Vec<SharedEntry>,
    /// Store revision of the last change.
    pub revision: u64,
    /// Value as stored, in JSON.
    pub value: String,
}

/// Entries of one bucket before and after it was replaced.
#[derive(Clone, Debug)]
struct BucketChange {
    after: Vec<SharedEntry>,
    before: Vec<SharedEntry>,
}

/// All buckets, and the store revision up to which no change is missing.
#[derive(Clone, Debug, Default)]
pub struct BucketTable {
    buckets: BTreeMap<String, VersionedBucket>,
    changes: Vec<BucketChange>,
    revision: u64,
    snapshot: Arc<CatalogueSnapshot>,
}

impl BucketTable {
    /// Stores a bucket unless the table has the same or a later revision of it.
    ///
    /// Returns whether the table changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the value can't be parsed; the table then keeps its current bucket.
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

    /// Marks the table as complete up to `revision`; an older revision has no effect.
    pub fn complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the store revision up to which the table is complete.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the buckets that changed after `revision`, sorted by key.
    ///
    /// With `after`, starts behind that key, so that callers can read page by page.
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

    /// Returns a snapshot of all buckets.
    ///
    /// Patches the last snapshot if few buckets have changed since, and builds a new one otherwise.
    pub fn snapshot(&mut self) -> Arc<CatalogueSnapshot> {
        let changes = mem::take(&mut self.changes);
        let snapshot = if changes.len() <= PATCHED_BUCKETS_MAX {
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
