//! The relays of a site whose links can be made faulty.

use {
    super::{SiteError, settings_text::DaemonPlace},
    crate::relay::{DatagramRelay, LinkFaults, LinkRelay},
    std::net::SocketAddr,
};

/// Link to one daemon's listener for peers, for calls and heartbeats.
#[derive(Debug)]
pub struct PeerLink {
    calls: LinkRelay,
    heartbeats: DatagramRelay,
}

impl PeerLink {
    /// Returns the address at which the link listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.calls.address()
    }

    /// Replaces the link's faults.
    pub async fn set_faults(&self, faults: LinkFaults) {
        self.calls.set_faults(faults).await;
        self.heartbeats.set_faults(faults).await;
    }

    async fn start(peers: SocketAddr) -> Result<Self, SiteError> {
        let calls = LinkRelay::start(peers).await?;
        let heartbeats = DatagramRelay::start_at(calls.address(), peers).await?;
        Ok(Self { calls, heartbeats })
    }
}

/// Relays before the store and before the daemons' listeners for peers, by the daemons' numbers.
#[derive(Debug)]
pub struct SiteRelays {
    /// Links to the daemons' listeners for peers, as the VM list names them.
    pub peers: Vec<PeerLink>,
    /// Each daemon's link to the store.
    pub stores: Vec<LinkRelay>,
}

impl SiteRelays {
    pub(super) async fn start(
        store: SocketAddr,
        places: &[DaemonPlace],
    ) -> Result<Self, SiteError> {
        let mut peers = Vec::new();
        let mut stores = Vec::new();
        for place in places {
            peers.push(PeerLink::start(place.peers).await?);
            stores.push(LinkRelay::start(store).await?);
        }
        Ok(Self { peers, stores })
    }

    /// Ends all relays.
    pub async fn close(self) {
        for link in self.peers {
            link.calls.close().await;
            link.heartbeats.close().await;
        }
        for link in self.stores {
            link.close().await;
        }
    }
}
