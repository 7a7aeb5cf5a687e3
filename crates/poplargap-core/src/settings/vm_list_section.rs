//! Settings of the platform's VM list.

use {
    crate::input::SectionReader,
    std::{net::SocketAddr, time::Duration},
};

/// The platform's VM list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VmListSection {
    /// Where the list is read; `None` for the store's address.
    pub address: Option<SocketAddr>,
    /// Time between two readings.
    pub poll: Duration,
}

impl VmListSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let address = reader.address("address");
        let poll = reader.duration("poll");
        Some(Self {
            address,
            poll: poll?,
        })
    }
}
