//! Buckets of entries as the platform's store keeps them.

use {
    super::{CatalogueEntry, EntryRef},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of buckets; small buckets keep the traffic of one change small.
pub const BUCKET_COUNT: u64 = 4096;

/// Prefix of the buckets' keys in the store.
pub const BUCKET_PREFIX: &str = "poplargap/catalogue/";

/// Returns the store key of the bucket that holds an entry.
#[must_use]
pub fn bucket_key(entry: &EntryRef) -> String {
    let number = xxh3_64(entry.to_string().as_bytes()) % BUCKET_COUNT;
    format!("{BUCKET_PREFIX}{number:04x}")
}

/// One version of an entry; a removed entry keeps its version without content.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EntryRecord {
    /// The entry's content, or `None` once it was removed.
    pub entry: Option<CatalogueEntry>,
    /// Number of this version, from 1.
    pub version: u64,
    /// Id of the write that made this version, unique over all writes.
    pub write_id: String,
}

/// The value of one bucket: entries by `kind name`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BucketRecord {
    /// Records by the text of their [`EntryRef`].
    pub entries: BTreeMap<String, EntryRecord>,
}
