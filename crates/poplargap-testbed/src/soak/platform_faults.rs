//! Faults of the store, the VM list and the links between processes.

use {
    super::{
        FaultKind, ViolationKind,
        fault_driver::{ActiveFault, FaultDriver},
    },
    crate::relay::LinkFaults,
    reqwest::Client,
};

const ANSWERS_LOST: u64 = 30;
const LINK_DELAY_MS: u64 = 40;
const LINK_LOSS_PERCENT: u8 = 5;
const LINK_STALL_MS: u64 = 200;
const STORE_DELAY_MS: u64 = 1_200;
const VM_LAG_MS: u64 = 4_000;

impl FaultDriver {
    /// Begins a fault of the store, the VM list or a link.
    pub(super) async fn begin_platform_fault(
        &mut self,
        fault: &mut ActiveFault,
        target: usize,
    ) -> bool {
        let seed = u64::try_from(target).unwrap_or_default();
        let delayed = LinkFaults {
            delay_ms: LINK_DELAY_MS,
            loss_percent: LINK_LOSS_PERCENT,
            seed,
            stall_ms: LINK_STALL_MS,
            ..LinkFaults::default()
        };
        let cut = LinkFaults {
            cut: true,
            ..LinkFaults::default()
        };
        match fault.kind {
            FaultKind::PeerLinkCut => self.set_peer_links(cut).await,
            FaultKind::PeerLinkDelay => self.set_peer_links(delayed).await,
            FaultKind::StoreLinkCut => {
                let daemon = target % self.site.daemons.len();
                fault.daemon = Some(daemon);
                self.set_store_link(daemon, cut).await;
            }
            FaultKind::StoreLinkDelay => self.set_store_links(delayed).await,
            _ => self.set_store(fault.kind, true).await,
        }
        true
    }

    /// Ends a fault of the store, the VM list or a link.
    pub(super) async fn end_platform_fault(&mut self, fault: &ActiveFault) {
        match fault.kind {
            FaultKind::PeerLinkCut | FaultKind::PeerLinkDelay => {
                self.set_peer_links(LinkFaults::default()).await;
            }
            FaultKind::StoreLinkCut => {
                if let Some(daemon) = fault.daemon {
                    self.set_store_link(daemon, LinkFaults::default()).await;
                }
            }
            FaultKind::StoreLinkDelay => self.set_store_links(LinkFaults::default()).await,
            kind => self.set_store(kind, false).await,
        }
    }

    async fn set_store(&mut self, kind: FaultKind, on: bool) {
        let faults = &mut self.store_faults;
        faults.drop_next_answers = 0;
        faults.silent = false;
        match kind {
            FaultKind::StoreAnswerLoss if on => faults.drop_next_answers = ANSWERS_LOST,
            FaultKind::StoreOutage => faults.refuse = on,
            FaultKind::StoreSilence => faults.silent = on,
            FaultKind::StoreSlow => faults.delay_ms = if on { STORE_DELAY_MS } else { 0 },
            FaultKind::VmLag => faults.lag_ms = if on { VM_LAG_MS } else { 0 },
            _ => {}
        }
        let url = format!("http://{}/faults", self.site.store());
        let sent = Client::new()
            .post(url)
            .json(&self.store_faults)
            .send()
            .await;
        if let Err(error) = sent {
            let detail = format!("the store takes no faults: {error}");
            self.report(ViolationKind::SoakFailed, detail);
        }
    }

    async fn set_peer_links(&self, faults: LinkFaults) {
        let links = self.site.relays().map(|relays| &relays.peers);
        for link in links.into_iter().flatten() {
            link.set_faults(faults).await;
        }
    }

    async fn set_store_link(&self, daemon: usize, faults: LinkFaults) {
        if let Some(relays) = self.site.relays() {
            relays.stores[daemon].set_faults(faults).await;
        }
    }

    async fn set_store_links(&self, faults: LinkFaults) {
        for daemon in 0..self.site.daemons.len() {
            self.set_store_link(daemon, faults).await;
        }
    }
}
