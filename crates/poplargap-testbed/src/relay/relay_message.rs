//! Messages to a relay's task.

use {super::LinkFaults, std::net::SocketAddr, tokio::sync::oneshot};

/// A message to a relay's task; `done` is answered once it is in force.
#[derive(Debug)]
pub(super) enum RelayMessage {
    /// Resets all connections and ends the relay.
    Close,
    /// A connection has reached the upstream from this local address.
    Connected { id: u64, local: SocketAddr },
    /// Resets the connection that the upstream knows by this address.
    Reset {
        done: oneshot::Sender<()>,
        local: SocketAddr,
    },
    /// Replaces the link's faults.
    SetFaults {
        done: oneshot::Sender<()>,
        faults: LinkFaults,
    },
    /// Silences the open connections, except the one that the upstream knows by this address.
    Silence {
        done: oneshot::Sender<()>,
        except: Option<SocketAddr>,
    },
}
