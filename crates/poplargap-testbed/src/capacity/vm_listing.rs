//! The platform's VM list of a fleet whose daemons run in only one data centre.

use {
    super::{CapacityError, FleetSize},
    crate::site::SiteError,
    poplargap_store::{VmEntry, VmRole, VmState},
    std::net::{Ipv4Addr, SocketAddr},
};

const REMOTE_DAEMON_PORT: u16 = 8_082;

/// Returns `running` with the fleet's upstreams and the daemons of the other data centres added.
pub(super) fn extend(
    running: Vec<VmEntry>,
    size: &FleetSize,
    upstream: SocketAddr,
) -> Result<Vec<VmEntry>, CapacityError> {
    let mut entries = running;
    for number in 0..size.upstreams {
        let data_centre = number % size.data_centres;
        let name = format!("engine-{number:05}");
        entries.push(vm_entry(VmRole::Upstream, name, data_centre, upstream)?);
    }
    for data_centre in 1..size.data_centres {
        for number in 0..size.daemons {
            let name = format!("far-{data_centre:02}-{number:02}");
            let octet = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
            // Nothing listens at these loopback addresses.
            let host = Ipv4Addr::new(127, 1, octet(data_centre), octet(number + 1));
            let address = SocketAddr::from((host, REMOTE_DAEMON_PORT));
            entries.push(vm_entry(VmRole::Entry, name, data_centre, address)?);
        }
    }
    Ok(entries)
}

fn vm_entry(
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
