//! The operators' catalogue: entries, their stored versions and indexed snapshots.

pub mod declaration;

mod bucket;
mod bucket_table;
mod entry;
mod entry_kind;
mod entry_set;
mod history;
mod key_digest;
mod load_multiple;
mod shared_entry;
mod snapshot;
mod snapshot_patch;

pub use {
    bucket::{BUCKET_COUNT, BUCKET_PREFIX, BucketRecord, EntryRecord, bucket_key},
    bucket_table::{BucketError, BucketTable, VersionedBucket},
    entry::{
        CatalogueEntry, ClassEntry, DataCentreEntry, EngineRole, FencingCheck, LimitSet, PoolEntry,
        PoolKind, PriorityClass, UpstreamEntry, UpstreamState, WorkspaceEntry,
    },
    entry_kind::{EntryKind, EntryRef, EntryRefError},
    entry_set::EntrySet,
    history::{HISTORY_LEN_MAX, HISTORY_PREFIX, HistoryRecord, history_key},
    key_digest::{DigestError, KeyDigest},
    load_multiple::{LoadMultiple, MultipleError},
    shared_entry::SharedEntry,
    snapshot::CatalogueSnapshot,
};
