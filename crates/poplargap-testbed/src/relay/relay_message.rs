//! Messages to the task of a relay.

use {super::LinkFaults, std::net::SocketAddr, tokio::sync::oneshot};

/// A message to the task of a relay; `done` is signalled once the change is in force.
#[derive(Debug)]
pub(super) enum RelayMessage {
    /// Resets all connections and ends the relay.
    Close,
    /// Reports that connection `id` has reached the upstream from the address `local`.
    Connected { id: u64, local: SocketAddr },
    /// Resets the connection that reaches the upstream from the address `local`.
    Reset {
        done: oneshot::Sender<()>,
        local: SocketAddr,
    },
    /// Replaces the link's faults.
    SetFaults {
        done: oneshot::Sender<()>,
        faults: LinkFaults,
    },
    /// Silences the open connections, except the one that reaches the upstream from `except`.
    Silence {
        done: oneshot::Sender<()>,
        except: Option<SocketAddr>,
    },
}
