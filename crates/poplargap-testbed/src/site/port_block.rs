//! Free addresses on loopback.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
};

/// Holds free ports until all are picked, so that none is picked twice.
#[derive(Debug)]
pub(super) struct PortBlock {
    held: Vec<(TcpListener, UdpSocket)>,
    host: IpAddr,
}

impl PortBlock {
    /// Creates a block on a loopback address of this process's own, away from other tests' ports.
    pub(super) fn new() -> Self {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = IpAddr::V4(Ipv4Addr::new(127, 64, high, low.max(1)));
        Self {
            held: Vec::new(),
            host,
        }
    }

    /// Picks an address whose TCP and UDP ports are free.
    pub(super) fn pick(&mut self) -> io::Result<SocketAddr> {
        loop {
            let listener = TcpListener::bind((self.host, 0))?;
            let address = listener.local_addr()?;
            if let Ok(socket) = UdpSocket::bind(address) {
                self.held.push((listener, socket));
                return Ok(address);
            }
        }
    }
}
