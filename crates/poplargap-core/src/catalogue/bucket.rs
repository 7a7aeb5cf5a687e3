//! Format of the catalogue in the platform's store: entries grouped into buckets by hash.

use {
    super::{CatalogueEntry, EntryRef},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of buckets. A change transfers the whole bucket, so buckets are kept small.
pub const BUCKET_COUNT: u64 = 4096;

/// Prefix of the store keys of all buckets.
pub const BUCKET_PREFIX: &str = "poplargap/catalogue/";

/// Returns the store key of the bucket that contains an entry.
#[must_use]
pub fn bucket_key(entry: &EntryRef) -> String {
    let number = xxh3_64(entry.to_string().as_bytes()) % BUCKET_COUNT;
    format!("{BUCKET_PREFIX}{number:04x}")
}

/// One version of an entry. A removed entry leaves a record with a version and no content.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EntryRecord {
    /// Content of the entry; `None` if this version removed it.
    pub entry: Option<CatalogueEntry>,
    /// Number of this version, starting at 1.
    pub version: u64,
    /// Id of the write that created this version, unique among all writes.
    pub write_id: String,
}

/// Stored value of one bucket.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BucketRecord {
    /// Records keyed by the text of their [`EntryRef`], `kind name`.
    pub entries: BTreeMap<String, EntryRecord>,
}
