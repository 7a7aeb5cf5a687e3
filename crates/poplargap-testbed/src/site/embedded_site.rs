//! A site with all its daemons in one process.

use {
    super::{
        PeerLink, SiteError, SitePlan, SiteRelays, SiteUpstreams, StatusClient, declarations,
        settings_text::DaemonPlace, site_upstreams::UpstreamPlace,
    },
    crate::store::StoreStandIn,
    poplargap::{CommandError, Environment},
    poplargap_core::settings::DaemonSettings,
    poplargap_store::{VmEntry, VmRole, VmState},
    poplargapd::{daemon::Daemon, log},
    reqwest::Client,
    std::{
        ffi::OsString,
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::time::{self, Instant},
};

const READY_MAX: Duration = Duration::from_secs(10);
const READY_POLL: Duration = Duration::from_millis(50);

/// The platform's stand-in, the upstreams' stand-ins, and the daemons' addresses.
#[derive(Debug)]
pub(super) struct SiteBase {
    pub(super) places: Vec<DaemonPlace>,
    pub(super) relays: Option<SiteRelays>,
    pub(super) store: StoreStandIn,
    pub(super) upstreams: SiteUpstreams,
    pub(super) vms: Vec<VmEntry>,
}

impl SiteBase {
    /// Starts the stand-ins, and puts the catalogue and the VM list in place.
    pub(super) async fn start(plan: &SitePlan) -> Result<Self, SiteError> {
        let store = StoreStandIn::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let (upstreams, upstream_places) = SiteUpstreams::start(plan).await?;
        let places = DaemonPlace::pick(plan)?;
        let relays = if plan.relays {
            Some(SiteRelays::start(store.address(), &places).await?)
        } else {
            None
        };
        let mut vms = vm_entries(&places, &upstream_places)?;
        for (vm, address) in vms.iter_mut().zip(peer_addresses(&places, relays.as_ref())) {
            vm.address = address;
        }
        let text = declarations::write(plan, &upstream_places).map_err(SiteError::Apply)?;
        let base = Self {
            places,
            relays,
            store,
            upstreams,
            vms,
        };
        base.set_vms(&base.vms).await?;
        apply(base.store.address(), &text).await?;
        Ok(base)
    }

    /// Puts a VM list in place of the one before.
    pub(super) async fn set_vms(&self, vms: &[VmEntry]) -> Result<(), SiteError> {
        let url = format!("http://{}/v1/vms", self.store.address());
        let response = Client::new().put(url).json(vms).send().await;
        let response = response.and_then(reqwest::Response::error_for_status);
        response
            .map(drop)
            .map_err(|error| SiteError::Platform(error.to_string()))
    }

    /// Marks a VM in the platform's list.
    pub(super) async fn mark_vm(&mut self, name: &str, state: VmState) -> Result<(), SiteError> {
        for vm in self.vms.iter_mut().filter(|vm| vm.name == name) {
            vm.state = state;
        }
        self.set_vms(&self.vms).await
    }

    /// Returns where the daemon with this number finds the store.
    pub(super) fn store_for(&self, number: usize) -> SocketAddr {
        match &self.relays {
            Some(relays) => relays.stores[number].address(),
            None => self.store.address(),
        }
    }

    /// Waits until every daemon sees all daemons of its data centre ready.
    pub(super) async fn wait_ready(&self) -> Result<(), SiteError> {
        let client = StatusClient::default();
        let end = Instant::now() + READY_MAX;
        for place in &self.places {
            let expected = self
                .places
                .iter()
                .filter(|other| other.data_centre == place.data_centre)
                .count();
            loop {
                let status = client.status(place.operators).await;
                if status.is_some_and(|status| status.members_ready.len() == expected) {
                    break;
                }
                if Instant::now() >= end {
                    return Err(SiteError::NotReady(READY_MAX.as_secs()));
                }
                time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }
}

/// Applies declarations as an operator does.
pub(super) async fn apply(store: SocketAddr, text: &str) -> Result<String, SiteError> {
    let dir = tempfile::tempdir()?;
    let file = dir.path().join("site.ini");
    std::fs::write(&file, text)?;
    let arguments: Vec<OsString> = vec![
        "apply".into(),
        file.into_os_string(),
        "--store".into(),
        store.to_string().into(),
    ];
    let mut output = Vec::new();
    let applied: Result<(), CommandError> =
        poplargap::run(arguments, Environment::default(), &mut output).await;
    applied.map_err(|error| SiteError::Apply(error.to_string()))?;
    Ok(String::from_utf8_lossy(&output).into_owned())
}

/// Returns where other daemons reach each daemon, by number.
fn peer_addresses(places: &[DaemonPlace], relays: Option<&SiteRelays>) -> Vec<SocketAddr> {
    match relays {
        Some(relays) => relays.peers.iter().map(PeerLink::address).collect(),
        None => places.iter().map(|place| place.peers).collect(),
    }
}

fn vm_entries(
    daemons: &[DaemonPlace],
    upstreams: &[UpstreamPlace],
) -> Result<Vec<VmEntry>, SiteError> {
    let entry = |role, name: &str, data_centre: &str, address| {
        let data_centre = data_centre
            .parse()
            .map_err(|error| SiteError::Platform(format!("{error}")))?;
        Ok(VmEntry {
            address,
            data_centre,
            name: name.to_owned(),
            role,
            state: VmState::Live,
        })
    };
    let daemons = daemons
        .iter()
        .map(|place| entry(VmRole::Entry, &place.name, &place.data_centre, place.peers));
    let upstreams = upstreams.iter().map(|place| {
        entry(
            VmRole::Upstream,
            &place.name,
            &place.data_centre,
            place.address,
        )
    });
    daemons.chain(upstreams).collect()
}

/// A site whose daemons run in this process.
#[derive(Debug)]
pub struct EmbeddedSite {
    base: SiteBase,
    daemons: Vec<Daemon>,
}

impl EmbeddedSite {
    /// Starts a site and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a part can't start or the daemons don't get ready in time.
    pub async fn start(plan: &SitePlan) -> Result<Self, SiteError> {
        let base = SiteBase::start(plan).await?;
        let mut daemons = Vec::new();
        for (number, place) in base.places.iter().enumerate() {
            let text = place.settings(plan, base.store_for(number));
            let settings = DaemonSettings::read(&place.name, &text)
                .map_err(|findings| SiteError::Daemon(findings.to_string()))?;
            let log = log::create(&settings.log);
            let daemon = Daemon::start(settings, log).await;
            daemons.push(daemon.map_err(|error| SiteError::Daemon(error.to_string()))?);
        }
        base.wait_ready().await?;
        Ok(Self { base, daemons })
    }

    /// Applies declarations as an operator does; returns what the command prints.
    ///
    /// # Errors
    ///
    /// Returns an error when the command fails.
    pub async fn apply(&self, text: &str) -> Result<String, SiteError> {
        apply(self.base.store.address(), text).await
    }

    /// Returns the daemons' listeners for callers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.base.places.iter().map(|place| place.callers).collect()
    }

    /// Returns the daemons' listeners for operators.
    #[must_use]
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.base
            .places
            .iter()
            .map(|place| place.operators)
            .collect()
    }

    /// Returns the daemons.
    #[must_use]
    pub fn daemons(&self) -> &[Daemon] {
        &self.daemons
    }

    /// Returns the daemons' listeners for RPC and heartbeats.
    #[must_use]
    pub fn peer_listeners(&self) -> Vec<SocketAddr> {
        self.base.places.iter().map(|place| place.peers).collect()
    }

    /// Returns the daemons' listeners for requests between daemons.
    #[must_use]
    pub fn relay_listeners(&self) -> Vec<SocketAddr> {
        self.base.places.iter().map(|place| place.relay).collect()
    }

    /// Returns the site's relays, if its plan asks for them.
    #[must_use]
    pub fn relays(&self) -> Option<&SiteRelays> {
        self.base.relays.as_ref()
    }

    /// Returns the address of the platform's store.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.base.store.address()
    }

    /// Returns the upstreams.
    pub fn upstreams(&mut self) -> &mut SiteUpstreams {
        &mut self.base.upstreams
    }

    /// Closes one of the daemons that run; returns the requests that were cut off.
    ///
    /// # Panics
    ///
    /// Panics when no daemon with this number runs.
    pub async fn close_daemon(&mut self, number: usize) -> usize {
        self.daemons.remove(number).close().await.aborted_requests
    }

    /// Closes daemons, upstreams and platform; returns the requests that were cut off.
    pub async fn close(self) -> usize {
        let mut cut = 0;
        for daemon in self.daemons {
            cut += daemon.close().await.aborted_requests;
        }
        if let Some(relays) = self.base.relays {
            relays.close().await;
        }
        self.base.upstreams.close().await;
        self.base.store.close().await;
        cut
    }
}
