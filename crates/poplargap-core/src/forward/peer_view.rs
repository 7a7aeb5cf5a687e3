use {
    super::rendezvous,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Most daemons of the own data centre that one message is sent to.
const LOCAL_PEERS_MAX: usize = 24;

/// Most daemons of other data centres that one message is sent to.
const REMOTE_PEERS_MAX: usize = 6;

/// A daemon's announcement to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeerEntry {
    /// Address at which the daemon receives datagrams from its peers.
    pub address: SocketAddr,
    /// The daemon's data centre.
    pub data_centre: Arc<str>,
}

/// The addresses and data centres of the other daemons of the fleet.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    data_centres: BTreeMap<SocketAddr, Arc<str>>,
}

impl PeerView {
    /// Creates a view of `entries` without the daemon at `own`.
    ///
    /// A restarted daemon may have two entries; it is counted once.
    pub fn new<'a>(entries: impl IntoIterator<Item = &'a PeerEntry>, own: SocketAddr) -> Self {
        let data_centres = entries
            .into_iter()
            .filter(|entry| entry.address != own)
            .map(|entry| (entry.address, Arc::clone(&entry.data_centre)))
            .collect();
        Self { data_centres }
    }

    /// Returns whether a daemon of the fleet is at `address`.
    #[must_use]
    pub fn is_known(&self, address: &SocketAddr) -> bool {
        self.data_centres.contains_key(address)
    }

    /// Returns whether a daemon of the fleet runs on the host with the address `ip`.
    #[must_use]
    pub fn is_known_host(&self, ip: IpAddr) -> bool {
        self.data_centres.keys().any(|address| address.ip() == ip)
    }

    /// Returns the addresses of the other daemons in `data_centre`.
    pub fn local(&self, data_centre: &str) -> impl Iterator<Item = SocketAddr> {
        let daemons = self.data_centres.iter();
        daemons
            .filter(move |(_, centre)| centre.as_ref() == data_centre)
            .map(|(address, _)| *address)
    }

    /// Returns the addresses of all other daemons.
    pub fn all(&self) -> impl Iterator<Item = SocketAddr> {
        self.data_centres.keys().copied()
    }

    /// Returns how many of the other daemons come before the one at `own` in an order that all of them
    /// share and that differs for each `key`.
    #[must_use]
    pub fn rank(&self, own: SocketAddr, key: &str) -> usize {
        let score = |address: &SocketAddr| {
            rendezvous::score(address.to_string().as_bytes(), xxh3_64(key.as_bytes()))
        };
        let own_score = score(&own);
        let others = self.data_centres.keys();
        others.filter(|other| score(other) > own_score).count()
    }

    /// Returns the number of other daemons.
    #[must_use]
    pub fn len(&self) -> usize {
        self.data_centres.len()
    }

    /// Returns whether no other daemon is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.data_centres.is_empty()
    }

    /// Returns a sample of the daemons, for a message from `data_centre`; `seed` is a random
    /// number.
    ///
    /// Few of them are in other data centres: traffic between data centres is costly, and a
    /// sample of the loads is sufficient there.
    #[must_use]
    pub fn sample(&self, data_centre: &str, seed: u64) -> Vec<SocketAddr> {
        let mut order: Vec<(&SocketAddr, &Arc<str>)> = self.data_centres.iter().collect();
        order.sort_by_cached_key(|(address, _)| {
            xxh3_64_with_seed(address.to_string().as_bytes(), seed)
        });
        let (local, remote): (Vec<_>, Vec<_>) = order
            .into_iter()
            .partition(|(_, centre)| centre.as_ref() == data_centre);
        let local = local.into_iter().take(LOCAL_PEERS_MAX);
        let sample = local.chain(remote.into_iter().take(REMOTE_PEERS_MAX));
        sample.map(|(address, _)| *address).collect()
    }
}
