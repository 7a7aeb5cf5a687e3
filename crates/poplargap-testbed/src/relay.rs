//! Loopback relays that stand in for links between data centres.

mod chunk_pump;
mod control_server;
mod datagram_relay;
mod datagram_task;
mod held_port;
mod link_faults;
mod link_relay;
mod relay_connection;
mod relay_control;
mod relay_message;
mod relay_task;

pub use {
    control_server::ControlServer, datagram_relay::DatagramRelay, link_faults::LinkFaults,
    link_relay::LinkRelay, relay_control::RelayControl,
};
