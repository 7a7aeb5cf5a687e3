//! The listeners of a daemon, bound but not yet served.

use {
    super::StartError,
    crate::server,
    poplargap_core::settings::DaemonSettings,
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, UdpSocket},
};

/// The TCP listeners, which the servers take over.
#[derive(Debug)]
pub(super) struct ServedListeners {
    pub(super) callers: TcpListener,
    pub(super) operators: TcpListener,
    pub(super) relay: TcpListener,
    pub(super) rpc: TcpListener,
}

/// All listeners of a daemon, one for each kind of sender.
#[derive(Debug)]
pub(super) struct DaemonListeners {
    pub(super) heartbeats: UdpSocket,
    pub(super) served: ServedListeners,
}

impl DaemonListeners {
    /// Binds all listeners.
    pub(super) async fn bind(settings: &DaemonSettings) -> Result<Self, StartError> {
        let daemon = &settings.daemon;
        let bind = |listener, address| {
            server::bind(address).map_err(|source| bind_error(listener, address, source))
        };
        let heartbeats = UdpSocket::bind(daemon.peers)
            .await
            .map_err(|source| bind_error("peers", daemon.peers, source))?;
        let served = ServedListeners {
            callers: bind("callers", daemon.callers)?,
            operators: bind("operators", daemon.operators)?,
            relay: bind("relay", daemon.relay)?,
            rpc: bind("peers", daemon.peers)?,
        };
        Ok(Self { heartbeats, served })
    }
}

/// Returns the error of a listener that can't use its address.
pub(super) fn bind_error(
    listener: &'static str,
    address: SocketAddr,
    source: io::Error,
) -> StartError {
    StartError::Bind {
        address,
        listener,
        source,
    }
}
