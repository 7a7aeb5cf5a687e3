//! Faults of the upstream stand-ins, set and cleared over HTTP.

mod connection_gate;
mod connection_handle;
mod fault_routes;
mod fault_settings;
mod gated_stream;
mod ran_header;

pub use {
    connection_gate::{BoundGate, ConnectionGate, GateCommand},
    connection_handle::ConnectionHandle,
    fault_routes::fault_routes,
    fault_settings::FaultSettings,
    gated_stream::GatedStream,
    ran_header::{NOT_RUN, RAN_HEADER, not_run_reply},
};
