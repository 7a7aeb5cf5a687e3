//! Buckets of the catalogue as one process has seen them; none ever goes back.

use {
    super::{BucketRecord, CatalogueSnapshot},
    displaydoc::Display,
    std::collections::BTreeMap,
};

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
    /// The bucket's content.
    pub record: BucketRecord,
    /// Revision of the last change.
    pub revision: u64,
    /// The value as the store keeps it.
    pub value: String,
}

/// All buckets, and the revision up to which they are complete.
#[derive(Clone, Debug, Default)]
pub struct BucketTable {
    buckets: BTreeMap<String, VersionedBucket>,
    revision: u64,
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
        let record = serde_json::from_str(value).map_err(|source| BucketError::Malformed {
            key: key.to_owned(),
            message: source.to_string(),
        })?;
        let value = value.to_owned();
        self.buckets.insert(
            key.to_owned(),
            VersionedBucket {
                record,
                revision,
                value,
            },
        );
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

    /// Builds the snapshot of all buckets.
    #[must_use]
    pub fn snapshot(&self) -> CatalogueSnapshot {
        let records = self.buckets.values().map(|bucket| &bucket.record);
        CatalogueSnapshot::from_buckets(self.revision, records)
    }
}
