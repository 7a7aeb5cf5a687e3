//! A loopback relay that stands in for a link between data centres.

mod chunk_pump;
mod held_port;
mod link_faults;
mod link_relay;
mod relay_connection;
mod relay_control;
mod relay_message;
mod relay_task;

pub use {link_faults::LinkFaults, link_relay::LinkRelay, relay_control::RelayControl};
