//! Heartbeats between the daemons of one data centre, one datagram each.

use {
    crate::proof::{FleetKey, ProofError},
    displaydoc::Display,
    poplargap_core::{membership::MemberReport, shard::ShardDigest},
    serde::{Deserialize, Serialize},
};

/// Longest datagram in bytes that the fleet sends.
pub const DATAGRAM_LEN_MAX: usize = 8 * 1024;

/// Load of one upstream that a former home's requests still cause.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResidualLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Hash of the upstream's name.
    pub upstream: u64,
}

/// Load of one shard at the daemon that sends the heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardReport {
    /// The shard.
    pub digest: ShardDigest,
    /// Epoch of the sender's home of the shard.
    pub epoch: u64,
    /// Whether the sender is the shard's home now.
    pub home: bool,
    /// Requests in flight at the shard's upstreams.
    pub in_flight: u32,
    /// What a former home's requests still cause, by upstream.
    pub residuals: Vec<ResidualLoad>,
    /// Upstreams that take work.
    pub upstreams: u32,
}

/// One heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatMessage {
    /// The sender.
    pub report: MemberReport,
    /// Shards that the sender is or was home to.
    pub shards: Vec<ShardReport>,
}

/// A datagram that is no heartbeat of the fleet.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum HeartbeatError {
    /// the datagram can't be read: {0}
    Malformed(String),
    /// {0}
    Proof(ProofError),
    /// the heartbeat is {len} bytes long; a datagram holds at most 8192
    TooLong {
        /// The length in bytes.
        len: usize,
    },
}

impl std::error::Error for HeartbeatError {}

impl HeartbeatMessage {
    /// Writes the heartbeat as a datagram with its authentication code.
    ///
    /// # Errors
    ///
    /// Returns an error when the datagram would be too long.
    pub fn encode(&self, key: &FleetKey) -> Result<Vec<u8>, HeartbeatError> {
        let mut datagram = postcard::to_stdvec(self)
            .map_err(|source| HeartbeatError::Malformed(source.to_string()))?;
        key.seal(&mut datagram);
        let len = datagram.len();
        if len > DATAGRAM_LEN_MAX {
            return Err(HeartbeatError::TooLong { len });
        }
        Ok(datagram)
    }

    /// Reads a datagram after checking its authentication code.
    ///
    /// # Errors
    ///
    /// Returns an error when the code is wrong or the datagram can't be read.
    pub fn decode(datagram: &[u8], key: &FleetKey) -> Result<Self, HeartbeatError> {
        let message = key.open(datagram).map_err(HeartbeatError::Proof)?;
        postcard::from_bytes(message)
            .map_err(|source| HeartbeatError::Malformed(source.to_string()))
    }
}
