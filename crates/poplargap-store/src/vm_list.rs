//! The platform's list of VMs, which lags behind their true state and is used as a hint only.

use {
    crate::{VmAnswer, VmQuery, VmTag},
    displaydoc::Display,
    poplargap_core::name::DataCentre,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Role of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs a daemon of the fleet; the address is its listener for peers.
    Entry,
    /// Runs an upstream; the address is its HTTP listener.
    Upstream,
}

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is about to be removed.
    Leaving,
    /// The VM is running.
    Live,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct VmEntry {
    /// Address of the listener of the VM's program.
    pub address: SocketAddr,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// Name of the VM's daemon or upstream.
    pub name: String,
    /// Role of the VM.
    pub role: VmRole,
    /// State of the VM according to the platform.
    pub state: VmState,
}

/// An error in reading the VM list.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum VmListError {
    /// the VM list can't be read: {0}
    Malformed(String),
    /// the VM list doesn't answer: {0}
    Unreachable(String),
}

impl std::error::Error for VmListError {}

/// Access to the platform's list of VMs.
pub trait VmList: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, VmListError>> + Send;

    /// Reads the part of the list that matches `query`, unless its version is still `known`.
    fn query_vms(
        &self,
        query: &VmQuery,
        known: Option<&VmTag>,
    ) -> impl Future<Output = Result<VmAnswer, VmListError>> + Send;
}
