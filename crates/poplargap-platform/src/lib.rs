//! Typed clients of the platform's key-value store and VM list, behind small traits.

mod store;
mod vm_list;

pub use {
    store::{
        KeyValueStore, LeaseGrant, LeaseId, StoreError, StoreRevision, StoredValue, SwapOutcome,
        SwapWrite, ValuePage, WatchBatch, WatchChange,
    },
    vm_list::{VmEntry, VmList, VmListError, VmRole, VmState},
};
