//! A test site whose daemons run in the current process.

use {
    super::{
        PeerLink, SiteError, SitePlan, SiteRelays, SiteUpstreams, StatusClient, declarations,
        settings_text::DaemonSpec, site_upstreams::UpstreamSpec,
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

/// Longest wait for one daemon to report all members of its data centre as ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two status requests to a daemon.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stand-ins of the platform and the upstreams, and the daemons' addresses.
#[derive(Debug)]
pub(super) struct SiteBase {
    pub(super) specs: Vec<DaemonSpec>,
    pub(super) relays: Option<SiteRelays>,
    pub(super) store: StoreStandIn,
    pub(super) upstreams: SiteUpstreams,
    pub(super) vms: Vec<VmEntry>,
}

impl SiteBase {
    /// Starts the stand-ins, publishes the VM list and applies the catalogue.
    pub(super) async fn start(plan: &SitePlan) -> Result<Self, SiteError> {
        let store = StoreStandIn::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let (upstreams, upstream_specs) = SiteUpstreams::start(plan).await?;
        let specs = DaemonSpec::assign(plan)?;
        let relays = if plan.relays {
            Some(SiteRelays::start(store.address(), &specs).await?)
        } else {
            None
        };
        let mut vms = vm_entries(&specs, &upstream_specs)?;
        for (vm, address) in vms.iter_mut().zip(peer_addresses(&specs, relays.as_ref())) {
            vm.address = address;
        }
        let text = declarations::write(plan, &upstream_specs).map_err(SiteError::Apply)?;
        let base = Self {
            specs,
            relays,
            store,
            upstreams,
            vms,
        };
        base.set_vms(&base.vms).await?;
        apply(base.store.address(), &text).await?;
        Ok(base)
    }

    /// Replaces the platform's VM list.
    pub(super) async fn set_vms(&self, vms: &[VmEntry]) -> Result<(), SiteError> {
        let url = format!("http://{}/v1/vms", self.store.address());
        let response = Client::new().put(url).json(vms).send().await;
        let response = response.and_then(reqwest::Response::error_for_status);
        response
            .map(drop)
            .map_err(|error| SiteError::Platform(error.to_string()))
    }

    /// Sets the state of a VM in the platform's list.
    pub(super) async fn mark_vm(&mut self, name: &str, state: VmState) -> Result<(), SiteError> {
        for vm in self.vms.iter_mut().filter(|vm| vm.name == name) {
            vm.state = state;
        }
        self.set_vms(&self.vms).await
    }

    /// Returns the store address for a daemon: its relay's, or the store's own without relays.
    pub(super) fn store_for(&self, number: usize) -> SocketAddr {
        match &self.relays {
            Some(relays) => relays.stores[number].address(),
            None => self.store.address(),
        }
    }

    /// Waits until every daemon reports all daemons of its data centre as ready.
    pub(super) async fn wait_ready(&self) -> Result<(), SiteError> {
        let client = StatusClient::default();
        let deadline = Instant::now() + READY_TIMEOUT;
        for spec in &self.specs {
            let expected = self
                .specs
                .iter()
                .filter(|other| other.data_centre == spec.data_centre)
                .count();
            loop {
                let status = client.status(spec.operators).await;
                if status.is_some_and(|status| status.members_ready.len() == expected) {
                    break;
                }
                if Instant::now() >= deadline {
                    return Err(SiteError::NotReady(READY_TIMEOUT.as_secs()));
                }
                time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Applies declarations with the `poplargap apply` command; returns its output.
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

/// Returns the addresses at which other daemons reach each daemon, by daemon number.
fn peer_addresses(specs: &[DaemonSpec], relays: Option<&SiteRelays>) -> Vec<SocketAddr> {
    match relays {
        Some(relays) => relays.peers.iter().map(PeerLink::address).collect(),
        None => specs.iter().map(|spec| spec.peers).collect(),
    }
}

fn vm_entries(
    daemons: &[DaemonSpec],
    upstreams: &[UpstreamSpec],
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
        .map(|spec| entry(VmRole::Entry, &spec.name, &spec.data_centre, spec.peers));
    let upstreams = upstreams.iter().map(|spec| {
        entry(
            VmRole::Upstream,
            &spec.name,
            &spec.data_centre,
            spec.address,
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
    /// Starts a site and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a stand-in or daemon can't start, or a daemon isn't ready in time.
    pub async fn start(plan: &SitePlan) -> Result<Self, SiteError> {
        let base = SiteBase::start(plan).await?;
        let mut daemons = Vec::new();
        for (number, spec) in base.specs.iter().enumerate() {
            let text = spec.settings(plan, base.store_for(number));
            let settings = DaemonSettings::read(&spec.name, &text)
                .map_err(|findings| SiteError::Daemon(findings.to_string()))?;
            let log = log::create(&settings.log);
            let daemon = Daemon::start(settings, log).await;
            daemons.push(daemon.map_err(|error| SiteError::Daemon(error.to_string()))?);
        }
        base.wait_ready().await?;
        Ok(Self { base, daemons })
    }

    /// Applies declarations with the `poplargap apply` command; returns its output.
    ///
    /// # Errors
    ///
    /// Returns an error when the command fails.
    pub async fn apply(&self, text: &str) -> Result<String, SiteError> {
        apply(self.base.store.address(), text).await
    }

    /// Returns the addresses of the daemons' listeners for callers, by daemon number.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.base.specs.iter().map(|spec| spec.callers).collect()
    }

    /// Returns the addresses of the daemons' listeners for operators, by daemon number.
    #[must_use]
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.base.specs.iter().map(|spec| spec.operators).collect()
    }

    /// Returns the running daemons.
    #[must_use]
    pub fn daemons(&self) -> &[Daemon] {
        &self.daemons
    }

    /// Returns the addresses of the daemons' listeners for RPC and heartbeats, by daemon number.
    #[must_use]
    pub fn peer_listeners(&self) -> Vec<SocketAddr> {
        self.base.specs.iter().map(|spec| spec.peers).collect()
    }

    /// Returns the addresses of the daemons' listeners for relayed requests, by daemon number.
    #[must_use]
    pub fn relay_listeners(&self) -> Vec<SocketAddr> {
        self.base.specs.iter().map(|spec| spec.relay).collect()
    }

    /// Returns the relays of the site's links, or `None` when its plan has none.
    #[must_use]
    pub fn relays(&self) -> Option<&SiteRelays> {
        self.base.relays.as_ref()
    }

    /// Returns the address of the store stand-in, without a relay.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.base.store.address()
    }

    /// Returns the engines and desks.
    pub fn upstreams(&mut self) -> &mut SiteUpstreams {
        &mut self.base.upstreams
    }

    /// Closes the running daemon at this index; returns the number of requests that it aborted.
    ///
    /// The daemons after it move down by one index.
    ///
    /// # Panics
    ///
    /// Panics when fewer daemons are running.
    pub async fn close_daemon(&mut self, number: usize) -> usize {
        self.daemons.remove(number).close().await.aborted_requests
    }

    /// Closes daemons, relays, upstreams and store; returns the number of aborted requests.
    pub async fn close(self) -> usize {
        let mut aborted = 0;
        for daemon in self.daemons {
            aborted += daemon.close().await.aborted_requests;
        }
        if let Some(relays) = self.base.relays {
            relays.close().await;
        }
        self.base.upstreams.close().await;
        self.base.store.close().await;
        aborted
    }
}
