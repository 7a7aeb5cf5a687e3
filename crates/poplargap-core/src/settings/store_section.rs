//! Settings of the platform's key-value store.

use {
    crate::input::SectionReader,
    std::{net::SocketAddr, time::Duration},
};

/// The platform's key-value store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreSection {
    /// Where the store listens.
    pub address: SocketAddr,
    /// Most calls that this daemon makes in any second.
    pub calls_per_second: u32,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

impl StoreSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let address = reader.address("address");
        let calls_per_second = reader.number("calls-per-second");
        let timeout = reader.duration("timeout");
        Some(Self {
            address: address?,
            calls_per_second: calls_per_second?,
            timeout: timeout?,
        })
    }
}
