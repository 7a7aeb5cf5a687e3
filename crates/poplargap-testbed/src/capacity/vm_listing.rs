//! The platform's VM list of a fleet of which only one data centre runs.

use {
    super::{CapacityError, FleetSize},
    crate::site::SiteError,
    poplargap_store::{VmEntry, VmRole, VmState},
    std::net::{Ipv4Addr, SocketAddr},
};

const FAR_PORT: u16 = 8_082;

/// Adds the fleet's upstreams and the far data centres' daemons to `running`.
pub(super) fn extend(
    running: Vec<VmEntry>,
    size: &FleetSize,
    upstream: SocketAddr,
) -> Result<Vec<VmEntry>, CapacityError> {
    let mut entries = running;
    for number in 0..size.upstreams {
        let data_centre = number % size.data_centres;
        let name = format!("engine-{number:05}");
        entries.push(entry(VmRole::Upstream, name, data_centre, upstream)?);
    }
    for data_centre in 1..size.data_centres {
        for number in 0..size.daemons {
            let name = format!("far-{data_centre:02}-{number:02}");
            let octet = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
            // Nothing listens there.
            let host = Ipv4Addr::new(127, 1, octet(data_centre), octet(number + 1));
            let address = SocketAddr::from((host, FAR_PORT));
            entries.push(entry(VmRole::Entry, name, data_centre, address)?);
        }
    }
    Ok(entries)
}

fn entry(
    role: VmRole,
    name: String,
    data_centre: usize,
    address: SocketAddr,
) -> Result<VmEntry, CapacityError> {
    let data_centre = super::catalogue_filler::data_centre_name(data_centre)
        .parse()
        .map_err(|error| SiteError::Platform(format!("{error}")))?;
    Ok(VmEntry {
        address,
        data_centre,
        name,
        role,
        state: VmState::Live,
    })
}
