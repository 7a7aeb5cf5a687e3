//! Relays that inject faults into a site's links.

use {
    super::{SiteError, settings_text::DaemonSpec},
    crate::relay::{DatagramRelay, LinkFaults, LinkRelay},
    std::net::SocketAddr,
};

/// Relays before one daemon's listener for peers: TCP for RPC and UDP for heartbeats.
#[derive(Debug)]
pub struct PeerLink {
    calls: LinkRelay,
    heartbeats: DatagramRelay,
}

impl PeerLink {
    /// Returns the address of both relays.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.calls.address()
    }

    /// Replaces the faults of both relays.
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

/// Relays of all daemons' links to the store and to their peers.
#[derive(Debug)]
pub struct SiteRelays {
    /// Links to the daemons' listeners for peers, by daemon number; the VM list holds their
    /// addresses.
    pub peers: Vec<PeerLink>,
    /// Links from the daemons to the store, by daemon number.
    pub stores: Vec<LinkRelay>,
}

impl SiteRelays {
    pub(super) async fn start(store: SocketAddr, specs: &[DaemonSpec]) -> Result<Self, SiteError> {
        let mut peers = Vec::new();
        let mut stores = Vec::new();
        for spec in specs {
            peers.push(PeerLink::start(spec.peers).await?);
            stores.push(LinkRelay::start(store).await?);
        }
        Ok(Self { peers, stores })
    }

    /// Resets all connections and closes all relays.
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
