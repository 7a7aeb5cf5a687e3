//! Stand-ins for a site's upstreams.

use {
    super::{PoolPlan, SiteError, SitePlan},
    crate::{
        desk::{DeskSettings, DeskStandIn},
        engine::{EngineSettings, EngineStandIn, LedgerRecord},
        load::EngineChurn,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::time,
};

/// Name, address, data centre and pool of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamSpec {
    pub(super) address: SocketAddr,
    pub(super) data_centre: String,
    pub(super) name: String,
    pub(super) pool: String,
}

/// Listen addresses of one engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineAddresses {
    /// Address of the control listener, which connection faults don't affect.
    pub control: SocketAddr,
    /// Address of the listener for requests.
    pub work: SocketAddr,
}

/// Engines and desks of a site, running in the current process.
#[derive(Debug)]
pub struct SiteUpstreams {
    /// Desks, by number.
    pub desks: Vec<DeskStandIn>,
    /// Engines, by number; `None` while an engine is stopped.
    pub engines: Vec<Option<EngineStandIn>>,
    /// Run ledgers of the stopped engines, in the order in which they stopped.
    pub stopped: Vec<LedgerRecord>,
    settings: EngineSettings,
}

impl SiteUpstreams {
    /// Starts all engines and desks of a plan.
    pub(super) async fn start(plan: &SitePlan) -> Result<(Self, Vec<UpstreamSpec>), SiteError> {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut specs = Vec::new();
        let mut engines = Vec::new();
        for number in 0..plan.engines.upstreams {
            let settings = EngineSettings {
                listen: free,
                ..plan.engine.clone()
            };
            let engine = EngineStandIn::start(settings).await?;
            specs.push(upstream_spec(plan, &plan.engines, number, engine.address()));
            engines.push(Some(engine));
        }
        let mut desks = Vec::new();
        for number in 0..plan.desks.upstreams {
            let settings = DeskSettings {
                listen: free,
                ..plan.desk.clone()
            };
            let desk = DeskStandIn::start(settings).await?;
            specs.push(upstream_spec(plan, &plan.desks, number, desk.address()));
            desks.push(desk);
        }
        let settings = plan.engine.clone();
        Ok((
            Self {
                desks,
                engines,
                settings,
                stopped: Vec::new(),
            },
            specs,
        ))
    }

    /// Stops an engine and all its runs, and keeps its ledger.
    ///
    /// Returns the addresses for its restart, or `None` when no such engine is running.
    pub async fn stop_engine(&mut self, number: usize) -> Option<EngineAddresses> {
        let engine = self.engines.get_mut(number)?.take()?;
        let addresses = EngineAddresses {
            control: engine.control_address(),
            work: engine.address(),
        };
        self.stopped.push(engine.close().await);
        Some(addresses)
    }

    /// Starts a stopped engine again at its addresses, with an empty cache.
    ///
    /// # Errors
    ///
    /// Returns an error when an address is in use.
    pub async fn restart_engine(
        &mut self,
        number: usize,
        addresses: EngineAddresses,
    ) -> Result<(), SiteError> {
        let settings = EngineSettings {
            control_listen: addresses.control,
            listen: addresses.work,
            ..self.settings.clone()
        };
        self.engines[number] = Some(EngineStandIn::start(settings).await?);
        Ok(())
    }

    /// Returns the control addresses of the running engines.
    #[must_use]
    pub fn engine_controls(&self) -> Vec<SocketAddr> {
        let engines = self.engines.iter().flatten();
        engines.map(EngineStandIn::control_address).collect()
    }

    /// Closes all engines and desks.
    pub async fn close(self) {
        for engine in self.engines.into_iter().flatten() {
            engine.close().await;
        }
        for desk in self.desks {
            desk.close().await;
        }
    }
}

fn upstream_spec(
    plan: &SitePlan,
    pool: &PoolPlan,
    number: usize,
    address: SocketAddr,
) -> UpstreamSpec {
    UpstreamSpec {
        address,
        data_centre: plan.data_centre_of(number).to_owned(),
        name: plan.upstream_name(pool, number),
        pool: pool.name.clone(),
    }
}

/// Time between the stop and the restart of an engine.
const CHURN_DOWNTIME: Duration = Duration::from_secs(1);

impl EngineChurn for &mut SiteUpstreams {
    async fn restart(&mut self, number: usize) {
        let number = number % self.engines.len().max(1);
        let Some(addresses) = self.stop_engine(number).await else {
            return;
        };
        time::sleep(CHURN_DOWNTIME).await;
        // An engine whose port is in use stays stopped, like a lost VM.
        drop(self.restart_engine(number, addresses).await);
    }
}
