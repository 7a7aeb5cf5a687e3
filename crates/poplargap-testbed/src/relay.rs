//! TCP and UDP relays on loopback that inject faults into links.

mod chunk_pump;
mod control_server;
mod datagram_relay;
mod datagram_task;
mod link_faults;
mod link_relay;
mod relay_connection;
mod relay_control;
mod relay_message;
mod relay_task;
mod reserved_port;

pub use {
    control_server::ControlServer, datagram_relay::DatagramRelay, link_faults::LinkFaults,
    link_relay::LinkRelay, relay_control::RelayControl,
};
