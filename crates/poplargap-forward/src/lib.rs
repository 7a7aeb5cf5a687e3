//! Filters that forward requests as they came: accept, identify, admit, place, relay, settle.
//!
//! What a request looks like on the wire is behind [`WireDialect`], what the store holds behind
//! [`FeedDialect`]. Decisions are in `poplargap_core::forward`.

mod accept;
mod admit;
mod arrival;
mod body_read;
mod call_head;
mod call_log;
mod clock;
mod closing;
mod connection_pool;
mod dialect;
mod feed;
mod fleet_front;
mod front_metrics;
mod front_settings;
mod front_state;
mod identify;
mod own_answer;
mod peers;
mod place;
mod relay;
mod relay_body;
mod send;
mod settle;
mod status_server;
mod stream_relay;

pub use {
    call_head::{CallHead, CallProblem, ReplyHead, SendHead},
    clock::FleetClock,
    dialect::{DecodeProblem, FeedDialect, WireDialect},
    fleet_front::{FleetFront, FrontError},
    front_settings::{FeedSettings, FrontSettings, RetryShare},
    own_answer::OwnAnswer,
    peers::{LeasedEntry, MessageProblem, PEERS_PREFIX, PeerMessage, announce},
};
