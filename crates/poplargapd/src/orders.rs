//! Orders to the engines of the own data centre, given by one daemon at a time.

mod acknowledged_store;
mod held_lease;
mod lease_store;
mod load_gate;
mod order_client;
mod order_metrics;
mod order_task;
mod restart_watch;

pub use {
    order_metrics::OrderMetrics,
    order_task::{OrderInputs, OrderTask},
};

/// Prefix of all keys about orders in the platform's store.
const KEY_PREFIX: &str = "poplargap/orders";
