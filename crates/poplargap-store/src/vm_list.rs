//! The platform's list of VMs, a hint that lags behind reality.

use {
    crate::{VmAnswer, VmQuery, VmTag},
    displaydoc::Display,
    poplargap_core::name::DataCentre,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a VM is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs a daemon of the fleet; the address is its peers' listener.
    Entry,
    /// Runs an upstream; the address is its HTTP listener.
    Upstream,
}

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is about to be taken away.
    Leaving,
    /// The VM runs.
    Live,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct VmEntry {
    /// Where the VM's program listens.
    pub address: SocketAddr,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// The VM's name: a daemon's or an upstream's.
    pub name: String,
    /// What the VM is for.
    pub role: VmRole,
    /// What the platform says of it.
    pub state: VmState,
}

/// A reading of the VM list that failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum VmListError {
    /// the VM list can't be read: {0}
    Malformed(String),
    /// the VM list doesn't answer: {0}
    Unreachable(String),
}

impl std::error::Error for VmListError {}

/// The platform's list of VMs.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, VmListError>> + Send;

    /// Reads the part of the list that `query` asks for, unless it is still the `known` one.
    fn vms_near(
        &self,
        query: &VmQuery,
        known: Option<&VmTag>,
    ) -> impl Future<Output = Result<VmAnswer, VmListError>> + Send;
}
