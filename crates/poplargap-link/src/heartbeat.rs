//! Datagrams between daemons: heartbeats within a data centre, load summaries between data centres.

use {
    crate::proof::{FleetKey, ProofError},
    displaydoc::Display,
    poplargap_core::{membership::MemberReport, name::DataCentre, shard::ShardDigest},
    serde::{Deserialize, Serialize},
};

/// Maximum length in bytes of a datagram to send, its authentication code included.
pub const DATAGRAM_LEN_MAX: usize = 8 * 1024;

/// Requests that a former shard owner still has in flight at one upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ResidualLoad {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Hash of the upstream's name.
    pub upstream: u64,
}

/// Load of one shard, reported by its owner or a former owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardReport {
    /// Hash of the shard's id.
    pub digest: ShardDigest,
    /// Epoch at which the sender owns or owned the shard.
    pub epoch: u64,
    /// Whether the sender owns the shard now.
    #[serde(rename = "home")]
    pub is_owner: bool,
    /// Number of requests in flight at the shard's upstreams.
    pub in_flight: u32,
    /// Requests that the sender, as a former owner, still has in flight, by upstream.
    pub residuals: Vec<ResidualLoad>,
    /// Number of upstreams that accept new requests.
    pub upstreams: u32,
}

/// Total load of one pool in one data centre.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSummary {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Hash of the pool's name.
    pub pool: u64,
    /// Number of upstreams that accept new requests.
    pub upstreams: u32,
}

/// Loads of all pools in one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CentreSummary {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Loads of the data centre's pools.
    pub pools: Vec<PoolSummary>,
}

/// A heartbeat to the other daemons of the data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatMessage {
    /// Recent load summaries that the sender received from other data centres.
    pub centres: Vec<CentreSummary>,
    /// Report on the sender.
    pub report: MemberReport,
    /// Loads of the shards that the sender owns or used to own.
    pub shards: Vec<ShardReport>,
}

/// A datagram between daemons, without its authentication code.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetDatagram {
    /// A heartbeat from a daemon of the same data centre.
    Heartbeat(HeartbeatMessage),
    /// A load summary from another data centre.
    Summary(CentreSummary),
}

/// An error in encoding or decoding a datagram.
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
    /// Encodes the datagram and appends its authentication code.
    ///
    /// # Errors
    ///
    /// Returns an error when the datagram is too long.
    pub fn encode(&self, key: &FleetKey) -> Result<Vec<u8>, DatagramError> {
        let mut datagram = postcard::to_stdvec(self)
            .map_err(|source| DatagramError::Malformed(source.to_string()))?;
        key.sign(&mut datagram);
        let len = datagram.len();
        if len > DATAGRAM_LEN_MAX {
            return Err(DatagramError::TooLong { len });
        }
        Ok(datagram)
    }

    /// Verifies the authentication code of a datagram and decodes it.
    ///
    /// # Errors
    ///
    /// Returns an error when the code is wrong or the datagram can't be decoded.
    pub fn decode(datagram: &[u8], key: &FleetKey) -> Result<Self, DatagramError> {
        let message = key.verify(datagram).map_err(DatagramError::Proof)?;
        postcard::from_bytes(message).map_err(|source| DatagramError::Malformed(source.to_string()))
    }
}
