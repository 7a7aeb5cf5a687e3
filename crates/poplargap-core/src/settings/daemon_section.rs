//! Settings of the daemon itself and its listeners.

use {
    crate::{
        input::SectionReader,
        name::{DaemonName, DataCentre},
    },
    std::net::SocketAddr,
};

/// The daemon itself and its listeners.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonSection {
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// The data centre that the daemon stands in.
    pub data_centre: DataCentre,
    /// The daemon's name.
    pub name: DaemonName,
    /// Where operators ask.
    pub operators: SocketAddr,
    /// Where other daemons call over TCP and send heartbeats over UDP.
    pub peers: SocketAddr,
    /// Where other daemons send callers' requests.
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
                reader.add(
                    key,
                    format!("`{address}` is also the address of `{earlier_key}`"),
                );
            }
        }
    }
}

fn check_reachable(reader: &mut SectionReader<'_>, key: &str, address: Option<SocketAddr>) {
    if let Some(address) = address.filter(|address| address.ip().is_unspecified()) {
        reader.add(
            key,
            format!("other daemons can't reach `{address}`; write the VM's own address"),
        );
    }
}

fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port() && a.port() != 0
}
