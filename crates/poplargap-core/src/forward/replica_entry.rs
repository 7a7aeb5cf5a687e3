use std::{net::SocketAddr, sync::Arc};

/// A replica's id; most restarts change it.
pub type ReplicaId = Arc<str>;

/// The state that a replica registers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaState {
    /// The replica accepts requests.
    Ready,
    /// The replica finishes its open requests and then exits.
    Draining,
}

/// A registered replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaEntry {
    /// Address at which the replica listens.
    pub address: SocketAddr,
    /// Start time in Unix milliseconds; 0 if the replica doesn't register it.
    pub started_ms: u64,
    /// The replica's data centre.
    pub data_centre: Arc<str>,
    /// The replica's id.
    pub id: ReplicaId,
    /// Name of the service that the replica belongs to.
    pub service: Arc<str>,
    /// Number of requests that the replica processes concurrently.
    pub slots: u32,
    /// Whether the replica accepts requests.
    pub state: ReplicaState,
}
