//! Messages to the task that owns the store.

use {
    super::{
        CallCounts, StoreFaults, call_effect::CallEffect, change_history::HistoryGone,
        store_restore::RestorePlan, store_state::SwapAnswer,
    },
    poplargap_platform::store_wire::{RangeQuery, TransactionBody, WatchQuery},
    poplargap_store::{
        CallKind, LeaseGrant, StoreEra, StoredValue, ValuePage, VmEntry, WatchBatch,
    },
    std::time::Duration,
    tokio::sync::oneshot,
};

/// Sender of the reply to one message.
pub(super) type ReplySender<T> = oneshot::Sender<T>;

/// Message to the task that owns the store.
#[derive(Debug)]
pub(super) enum StoreMessage {
    Begin(CallKind, ReplySender<CallEffect>),
    Compact(ReplySender<()>),
    Counts(ReplySender<CallCounts>),
    Era(ReplySender<StoreEra>),
    Faults(ReplySender<StoreFaults>),
    Get(String, ReplySender<Option<StoredValue>>),
    GrantLease(Duration, ReplySender<LeaseGrant>),
    List(RangeQuery, ReplySender<ValuePage>),
    PutVms(Vec<VmEntry>, ReplySender<()>),
    RenewLease(u64, ReplySender<bool>),
    Restore(RestorePlan, ReplySender<bool>),
    RevokeLease(u64, ReplySender<bool>),
    SetFaults(StoreFaults, ReplySender<()>),
    Swap(TransactionBody, ReplySender<SwapAnswer>),
    TakeCopy(ReplySender<()>),
    Vms(ReplySender<Vec<VmEntry>>),
    Watch(WatchQuery, ReplySender<Result<WatchBatch, HistoryGone>>),
}
