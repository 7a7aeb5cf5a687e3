use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Most daemons of the own data centre that are told at once.
const NEAR_MAX: usize = 24;

/// Daemons of other data centres that are told at once.
const FAR_MAX: usize = 6;

/// What a daemon says of itself to the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeerEntry {
    /// Where it hears the other daemons.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// The other daemons of the fleet.
#[derive(Clone, Debug, Default)]
pub struct PeerView {
    centres: BTreeMap<SocketAddr, Arc<str>>,
}

impl PeerView {
    /// Creates a view of `entries` without the daemon at `own`.
    ///
    /// A daemon that started anew may be there twice; it is counted once.
    pub fn new<'a>(entries: impl IntoIterator<Item = &'a PeerEntry>, own: SocketAddr) -> Self {
        let centres = entries
            .into_iter()
            .filter(|entry| entry.address != own)
            .map(|entry| (entry.address, Arc::clone(&entry.data_centre)))
            .collect();
        Self { centres }
    }

    /// Returns whether a daemon of the fleet is at `address`.
    #[must_use]
    pub fn is_known(&self, address: &SocketAddr) -> bool {
        self.centres.contains_key(address)
    }

    /// Returns the number of other daemons.
    #[must_use]
    pub fn len(&self) -> usize {
        self.centres.len()
    }

    /// Returns whether no other daemon is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.centres.is_empty()
    }

    /// Draws the daemons that one in `data_centre` tells in the round `round`, a random number.
    ///
    /// Bytes between data centres have a price, and a sample of the loads is enough there.
    #[must_use]
    pub fn draw(&self, data_centre: &str, round: u64) -> Vec<SocketAddr> {
        let mut order: Vec<(&SocketAddr, &Arc<str>)> = self.centres.iter().collect();
        order.sort_by_cached_key(|(address, _)| {
            xxh3_64_with_seed(address.to_string().as_bytes(), round)
        });
        let (near, far): (Vec<_>, Vec<_>) = order
            .into_iter()
            .partition(|(_, centre)| centre.as_ref() == data_centre);
        let near = near.into_iter().take(NEAR_MAX);
        let drawn = near.chain(far.into_iter().take(FAR_MAX));
        drawn.map(|(address, _)| *address).collect()
    }
}
