//! Settings of the `fleet` section: the shared secret and the seeds.

use {super::FleetSecret, crate::input::SectionReader, std::net::SocketAddr};

/// Secret and seeds of the fleet.
#[derive(Clone, Debug)]
pub struct FleetSection {
    /// Secret that all daemons share.
    pub secret: FleetSecret,
    /// Peer addresses of daemons through which this daemon joins the fleet.
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
