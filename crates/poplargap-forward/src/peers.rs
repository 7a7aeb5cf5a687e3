//! Exchange of load reports between the daemons of the fleet.
//!
//! The daemons find each other in the store and send datagrams. A lost datagram is harmless: the
//! load estimates are only less exact.

mod announcement;
mod exchange;
mod peer_message;

pub(crate) use exchange::{PeerSocket, exchange_loads};

pub use {
    announcement::{LeasedEntry, PEERS_PREFIX, announce},
    peer_message::{MessageError, PeerMessage},
};
