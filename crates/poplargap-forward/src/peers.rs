//! What the daemons of the fleet tell each other.
//!
//! They find each other in the store and speak by datagrams; one that is lost costs nothing but
//! a little knowledge.

mod announcement;
mod exchange;
mod peer_message;

pub(crate) use exchange::{PeerSocket, exchange_loads};

pub use {
    announcement::{LeasedEntry, PEERS_PREFIX, announce},
    peer_message::{MessageError, PeerMessage},
};
