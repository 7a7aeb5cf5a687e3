//! Datagrams between daemons: heartbeats inside a data centre, load summaries between them.

use {
    crate::proof::{FleetKey, ProofError},
    displaydoc::Display,
    poplargap_core::{membership::MemberReport, name::DataCentre, shard::ShardDigest},
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
    /// Whether the sender owns the shard now.
    #[serde(rename = "home")]
    pub is_owner: bool,
    /// Requests in flight at the shard's upstreams.
    pub in_flight: u32,
    /// What a former home's requests still cause, by upstream.
    pub residuals: Vec<ResidualLoad>,
    /// Upstreams that take work.
    pub upstreams: u32,
}

/// Load of one pool in one data centre.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSummary {
    /// Requests in flight.
    pub in_flight: u32,
    /// Hash of the pool's name.
    pub pool: u64,
    /// Upstreams that take work.
    pub upstreams: u32,
}

/// Loads of all pools in one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreSummary {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Its pools.
    pub pools: Vec<PoolSummary>,
}

/// One heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatMessage {
    /// Summaries that other data centres sent to the sender lately.
    pub centres: Vec<CentreSummary>,
    /// The sender.
    pub report: MemberReport,
    /// Shards that the sender is or was home to.
    pub shards: Vec<ShardReport>,
}

/// One datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetDatagram {
    /// From a daemon of the same data centre.
    Heartbeat(HeartbeatMessage),
    /// From another data centre.
    Summary(CentreSummary),
}

/// A datagram that can't be sent or read.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum DatagramError {
    /// the datagram can't be read: {0}
    Malformed(String),
    /// {0}
    Proof(ProofError),
    /// the datagram is {len} bytes long; at most 8192 are sent
    TooLong {
        /// The length in bytes.
        len: usize,
    },
}

impl std::error::Error for DatagramError {}

impl FleetDatagram {
    /// Writes the datagram with its authentication code.
    ///
    /// # Errors
    ///
    /// Returns an error when the datagram would be too long.
    pub fn encode(&self, key: &FleetKey) -> Result<Vec<u8>, DatagramError> {
        let mut datagram = postcard::to_stdvec(self)
            .map_err(|source| DatagramError::Malformed(source.to_string()))?;
        key.seal(&mut datagram);
        let len = datagram.len();
        if len > DATAGRAM_LEN_MAX {
            return Err(DatagramError::TooLong { len });
        }
        Ok(datagram)
    }

    /// Reads a datagram after checking its authentication code.
    ///
    /// # Errors
    ///
    /// Returns an error when the code is wrong or the datagram can't be read.
    pub fn decode(datagram: &[u8], key: &FleetKey) -> Result<Self, DatagramError> {
        let message = key.open(datagram).map_err(DatagramError::Proof)?;
        postcard::from_bytes(message).map_err(|source| DatagramError::Malformed(source.to_string()))
    }
}
