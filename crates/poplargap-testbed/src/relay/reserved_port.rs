//! Port that stays reserved while no socket listens on it.

use {
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpSocket},
};

/// Maximum number of connections that wait for `accept`.
const BACKLOG: u32 = 1024;

/// A bound socket that never listens.
///
/// It keeps the port from other programs. Connections are refused while no listener from
/// [`Self::listen`] is open.
#[derive(Debug)]
pub(super) struct ReservedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a port; port 0 picks a free one.
    pub(super) fn bind(address: SocketAddr) -> io::Result<Self> {
        if address.port() != 0 {
            check_free(address)?;
        }
        let socket = shared_socket(address)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn listen(&self) -> io::Result<TcpListener> {
        shared_socket(self.address)?.listen(BACKLOG)
    }
}

/// Fails when the port is in use.
///
/// Sockets with `SO_REUSEPORT` don't notice other such sockets on their port, so this check
/// binds one without it.
fn check_free(address: SocketAddr) -> io::Result<()> {
    let socket = new_socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)
}

fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}

fn shared_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = new_socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}
