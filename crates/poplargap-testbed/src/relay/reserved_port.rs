//! A port that stays reserved while nothing listens on it.

use {
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpSocket},
};

const BACKLOG: u32 = 1024;

/// A bound socket that never listens, so that connections are refused without a listener.
#[derive(Debug)]
pub(super) struct HeldPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl HeldPort {
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

/// Fails when another program holds the port, which sockets that share ports don't notice.
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
