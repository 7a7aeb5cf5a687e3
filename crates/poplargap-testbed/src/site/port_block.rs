//! Free addresses on loopback.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU8, Ordering},
};

const BLOCKS_MAX: u8 = 128;
const FIRST_BLOCK: u8 = 64;

/// Holds free ports until all are picked, so that none is picked twice.
#[derive(Debug)]
pub(super) struct PortBlock {
    held: Vec<(TcpListener, UdpSocket)>,
    host: IpAddr,
}

impl PortBlock {
    /// Creates a block on a loopback address that no other block of this or another test uses.
    ///
    /// The ports are free again before the daemons bind them, so that the address must differ.
    pub(super) fn new() -> Self {
        static BLOCKS: AtomicU8 = AtomicU8::new(0);
        let block = BLOCKS.fetch_add(1, Ordering::Relaxed) % BLOCKS_MAX;
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = IpAddr::V4(Ipv4Addr::new(127, FIRST_BLOCK + block, high, low.max(1)));
        let held = Vec::new();
        Self { held, host }
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
