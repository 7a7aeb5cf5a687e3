use std::{net::SocketAddr, sync::Arc};

/// A replica's id, which is new with most of its starts.
pub type ReplicaId = Arc<str>;

/// What a replica says of its own future.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// A registered replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaEntry {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time of its start in Unix milliseconds, where it says so.
    pub started_ms: u64,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Its id.
    pub id: ReplicaId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: ReplicaState,
}
