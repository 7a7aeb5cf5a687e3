use {
    crate::instant::MonotonicInstant,
    displaydoc::Display,
    std::{net::SocketAddr, sync::Arc},
};

/// An address of a process that connections can be opened to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessAddress(SocketAddr);

/// An address at which no process can be reached.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AddressError {
    /// the address {0} has no port
    NoPort(SocketAddr),
    /// the address {0} isn't that of one machine
    NoMachine(SocketAddr),
}

impl std::error::Error for AddressError {}

impl TryFrom<SocketAddr> for ProcessAddress {
    type Error = AddressError;

    fn try_from(address: SocketAddr) -> Result<Self, AddressError> {
        if address.port() == 0 {
            return Err(AddressError::NoPort(address));
        }
        let host = address.ip();
        if host.is_unspecified() || host.is_multicast() {
            return Err(AddressError::NoMachine(address));
        }
        Ok(Self(address))
    }
}

impl From<ProcessAddress> for SocketAddr {
    fn from(address: ProcessAddress) -> Self {
        address.0
    }
}

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
    /// Time until which the replica is cold, as it registered last; `None` if it isn't.
    pub cold_until: Option<MonotonicInstant>,
    /// Start time in Unix milliseconds; 0 if the replica doesn't register it.
    pub started_ms: u64,
    /// The replica's data centre.
    pub data_centre: Arc<str>,
    /// The replica's id.
    pub id: ReplicaId,
    /// Number of the replica's report; it rises with each one until the replica starts again.
    pub sequence: u64,
    /// Name of the service that the replica belongs to.
    pub service: Arc<str>,
    /// Number of requests that the replica processes concurrently.
    pub slots: u32,
    /// Whether the replica accepts requests.
    pub state: ReplicaState,
}
