//! Queries and bodies of the platform's HTTP interface.

use {
    crate::StoreRevision,
    serde::{Deserialize, Serialize},
};

/// Path of the compare-and-swap and of the reading of one value.
pub const VALUE_PATH: &str = "/v1/kv";

/// Path of the leases.
pub const LEASE_PATH: &str = "/v1/leases";

/// Path of the listing by prefix.
pub const LIST_PATH: &str = "/v1/list";

/// Path of the VM list.
pub const VM_PATH: &str = "/v1/vms";

/// Path of the watch.
pub const WATCH_PATH: &str = "/v1/watch";

/// Body of an answer that a watch's start is compacted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CompactionNotice {
    /// Revision up to which the history is compacted.
    pub revision: StoreRevision,
}

/// Query of the reading of one value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct KeyQuery {
    /// The key.
    pub key: String,
}

/// Body of a request for a lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LeaseRequest {
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

/// Query of a listing by prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ListQuery {
    /// Key to continue after.
    pub after: Option<String>,
    /// Highest number of values in the page.
    pub limit: Option<usize>,
    /// Prefix of the keys.
    pub prefix: String,
}

/// Body of the answer to a write that was applied.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SwapReceipt {
    /// Revision of the write.
    pub revision: StoreRevision,
}

/// Query of a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WatchQuery {
    /// Revision after which changes are wanted.
    pub after: StoreRevision,
    /// Prefix of the keys.
    pub prefix: String,
    /// Longest wait in milliseconds.
    pub wait_ms: u64,
}
