//! Settings of the `vm-list` section: access to the platform's VM list.

use {
    crate::input::SectionReader,
    std::{net::SocketAddr, time::Duration},
};

/// Access to the platform's VM list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VmListSection {
    /// Address of the list; `None` for the address of the store.
    pub address: Option<SocketAddr>,
    /// Interval between two reads of the list.
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
