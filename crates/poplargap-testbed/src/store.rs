//! A stand-in for the platform's key-value store and VM list.
//!
//! `GET /v1/kv-key`, `GET /v1/kv-range`, `POST /v1/kv-txn`, `GET /v1/kv-watch`,
//! `POST /v1/kv-lease`, `POST /v1/kv-keep/{id}`, `DELETE /v1/kv-lease-end/{id}` and
//! `GET /v1/vms` are the platform's interface. `PUT /v1/vms`, `GET /counters`, `POST /compact`,
//! `POST /copy`, `POST /restore` and `GET`, `POST` and `DELETE /faults` control the stand-in; they are not counted, and faults
//! don't affect them.

mod call_counts;
mod call_effect;
mod change_history;
mod lease_table;
mod route_answer;
mod route_context;
mod store_faults;
mod store_handle;
mod store_message;
mod store_restore;
mod store_routes;
mod store_stand_in;
mod store_state;
mod store_task;
mod vm_history;

pub use {
    call_counts::CallCounts,
    store_faults::StoreFaults,
    store_restore::{RestorePlan, RestoredWrite},
    store_stand_in::StoreStandIn,
    store_state::VALUE_BYTES_MAX,
};
