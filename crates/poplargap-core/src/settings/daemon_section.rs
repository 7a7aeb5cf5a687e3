//! Settings of the `daemon` section: the daemon's identity and listeners.

use {
    crate::{
        input::SectionReader,
        name::{DaemonName, DataCentre},
    },
    std::net::SocketAddr,
};

/// Identity and listeners of the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonSection {
    /// Listener for callers' requests.
    pub callers: SocketAddr,
    /// Data centre in which the daemon runs.
    pub data_centre: DataCentre,
    /// Name of the daemon, unique in the fleet.
    pub name: DaemonName,
    /// Listener for operators' requests for status and metrics.
    pub operators: SocketAddr,
    /// Listener for calls (TCP) and heartbeats (UDP) of other daemons.
    pub peers: SocketAddr,
    /// Listener for callers' requests that other daemons relay.
    pub relay: SocketAddr,
}

impl DaemonSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let callers = reader.address("callers");
        let data_centre = reader.checked("data-centre");
        let name = reader.checked("name");
        let operators = reader.address("operators");
        let peers = reader.address("peers");
        let relay = reader.address("relay");
        let listeners = [
            ("callers", callers),
            ("operators", operators),
            ("peers", peers),
            ("relay", relay),
        ];
        check_duplicates(reader, &listeners);
        check_reachable(reader, "peers", peers);
        check_reachable(reader, "relay", relay);
        Some(Self {
            callers: callers?,
            data_centre: data_centre?,
            name: name?,
            operators: operators?,
            peers: peers?,
            relay: relay?,
        })
    }
}

fn check_duplicates(reader: &mut SectionReader<'_>, listeners: &[(&str, Option<SocketAddr>)]) {
    for (i, (key, address)) in listeners.iter().enumerate() {
        let Some(address) = address else { continue };
        for (earlier_key, earlier) in &listeners[..i] {
            if earlier.is_some_and(|earlier| overlaps(*address, earlier)) {
                reader.add_finding(
                    key,
                    format!("`{address}` is also the address of `{earlier_key}`"),
                );
            }
        }
    }
}

fn check_reachable(reader: &mut SectionReader<'_>, key: &str, address: Option<SocketAddr>) {
    if let Some(address) = address.filter(|address| address.ip().is_unspecified()) {
        reader.add_finding(
            key,
            format!("other daemons can't reach `{address}`; write the VM's own address"),
        );
    }
}

fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port() && a.port() != 0
}
