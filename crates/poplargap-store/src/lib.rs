//! Typed clients of the platform's key-value store and VM list, with a trait for each.

mod call_bucket;
mod call_kind;
mod call_outcome;
mod call_record;
mod control_bytes;
mod http_pool;
mod http_vm_list;
mod paced_store;
mod settled_write;
mod store;
mod store_counters;
mod store_eras;
mod vm_list;
mod vm_query;

pub use {
    call_bucket::{CallBucket, CallRate},
    call_kind::CallKind,
    call_outcome::CallOutcome,
    call_record::CallRecord,
    control_bytes::ControlBytes,
    http_pool::{HttpAnswer, HttpPool},
    http_vm_list::HttpVmList,
    paced_store::PacedStore,
    poplargap_core::store_position::{LeaseId, PositionError, StoreEra, StoreRevision},
    settled_write::{SettleLimit, WriteEvidence, write_then_settle},
    store::{
        KeyValueStore, LeaseGrant, StoreError, StoredValue, SwapOutcome, SwapWrite, ValuePage,
        WatchBatch, WatchChange,
    },
    store_counters::StoreCounters,
    store_eras::{EraWatch, StoreEras},
    vm_list::{VmEntry, VmList, VmListError, VmRole, VmState},
    vm_query::{VmAnswer, VmQuery, VmTag},
};
