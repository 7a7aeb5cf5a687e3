//! Settings that the daemons of the fleet share.

use {super::FleetSecret, crate::input::SectionReader, std::net::SocketAddr};

/// What the daemons of the fleet share.
#[derive(Clone, Debug)]
pub struct FleetSection {
    /// The secret that all daemons share.
    pub secret: FleetSecret,
    /// Peers' addresses of daemons to join through.
    pub seeds: Vec<SocketAddr>,
}

impl FleetSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let secret = reader.secret("secret");
        let seeds = reader.address_list("seeds");
        Some(Self {
            secret: secret?,
            seeds: seeds?,
        })
    }
}
