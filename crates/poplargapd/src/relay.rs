//! Requests between daemons: from the entry daemon to the owner of a shard.

mod relay_client;
mod relay_server;

pub use {
    relay_client::RelayClient,
    relay_server::{RelayServer, RelaySettings},
};

/// Header with the HTTP status of a plain service's answer.
const STATUS_HEADER: &str = "x-poplargap-status";

/// Event stream's comment that names the upstream of a chat.
const UPSTREAM_COMMENT: &[u8] = b": upstream ";

/// Event stream's comment that keeps a waiting connection alive.
const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";

/// Event that carries a refusal of a chat.
const REFUSAL_EVENT: &[u8] = b"event: refusal\ndata: ";

/// Longest time without data from a shard's owner, which sends comments three times as often.
const SILENCE_MAX_MS: u64 = 1_500;
