//! Free ports on a loopback address of their own.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU8, Ordering},
};

/// Number of blocks of one process; further blocks reuse the addresses in turn.
const BLOCKS_MAX: u8 = 128;

/// Second byte of the first block's loopback address.
const FIRST_BLOCK: u8 = 64;

/// Picks free ports, and keeps them bound until all are picked so that none is picked twice.
#[derive(Debug)]
pub(super) struct PortBlock {
    bound: Vec<(TcpListener, UdpSocket)>,
    host: IpAddr,
}

impl PortBlock {
    /// Creates a block on a loopback address of its own, formed from a counter and the process id.
    ///
    /// The ports are released before the daemons bind them. Blocks on different addresses can't
    /// take each other's ports in between, also when several tests run at once.
    pub(super) fn new() -> Self {
        static BLOCKS: AtomicU8 = AtomicU8::new(0);
        let block = BLOCKS.fetch_add(1, Ordering::Relaxed) % BLOCKS_MAX;
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = IpAddr::V4(Ipv4Addr::new(127, FIRST_BLOCK + block, high, low.max(1)));
        let bound = Vec::new();
        Self { bound, host }
    }

    /// Picks an address whose TCP and UDP ports are free.
    pub(super) fn pick_address(&mut self) -> io::Result<SocketAddr> {
        loop {
            let listener = TcpListener::bind((self.host, 0))?;
            let address = listener.local_addr()?;
            if let Ok(socket) = UdpSocket::bind(address) {
                self.bound.push((listener, socket));
                return Ok(address);
            }
        }
    }
}
