//! Settings of the `store` section: access to the platform's key-value store.

use {
    crate::input::SectionReader,
    std::{net::SocketAddr, time::Duration},
};

/// Access to the platform's key-value store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreSection {
    /// Address of the store.
    pub address: SocketAddr,
    /// Largest number of calls that this daemon makes in any one second.
    pub calls_per_second: u32,
    /// Longest wait for an answer from the store.
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
