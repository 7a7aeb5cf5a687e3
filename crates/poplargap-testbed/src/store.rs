//! A stand-in for the platform's key-value store and VM list.
//!
//! `GET /v1/kv?key=`, `PUT /v1/kv`, `GET /v1/list`, `GET /v1/watch`, `POST /v1/leases`,
//! `POST /v1/leases/{id}/renew`, `DELETE /v1/leases/{id}` and `GET /v1/vms` are the platform's
//! interface. `PUT /v1/vms`, `GET /counters`, `POST /compact`, `GET`, `POST` and
//! `DELETE /faults` steer the stand-in and are neither counted nor disturbed by faults.

mod call_counts;
mod call_fate;
mod change_history;
mod lease_table;
mod route_answer;
mod route_context;
mod store_faults;
mod store_handle;
mod store_message;
mod store_routes;
mod store_stand_in;
mod store_state;
mod store_task;
mod vm_history;

pub use {
    call_counts::CallCounts, store_faults::StoreFaults, store_stand_in::StoreStandIn,
    store_state::VALUE_BYTES_MAX,
};
