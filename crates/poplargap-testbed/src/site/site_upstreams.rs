//! The stand-ins of a site's upstreams.

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

/// Where one upstream stands.
#[derive(Clone, Debug)]
pub(super) struct UpstreamPlace {
    pub(super) address: SocketAddr,
    pub(super) data_centre: String,
    pub(super) name: String,
    pub(super) pool: String,
}

/// Where one engine listens.
#[derive(Clone, Copy, Debug)]
pub struct EngineAddresses {
    /// For faults and ledgers.
    pub control: SocketAddr,
    /// For work.
    pub work: SocketAddr,
}

/// Engines and desks in this process.
#[derive(Debug)]
pub struct SiteUpstreams {
    /// The desks, by number.
    pub desks: Vec<DeskStandIn>,
    /// The engines, by number; `None` while one is stopped.
    pub engines: Vec<Option<EngineStandIn>>,
    /// What ran on engines that were stopped.
    pub stopped: Vec<LedgerRecord>,
    settings: EngineSettings,
}

impl SiteUpstreams {
    /// Starts all engines and desks of a plan.
    pub(super) async fn start(plan: &SitePlan) -> Result<(Self, Vec<UpstreamPlace>), SiteError> {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut places = Vec::new();
        let mut engines = Vec::new();
        for number in 0..plan.engines.upstreams {
            let settings = EngineSettings {
                listen: free,
                ..plan.engine.clone()
            };
            let engine = EngineStandIn::start(settings).await?;
            places.push(place(plan, &plan.engines, number, engine.address()));
            engines.push(Some(engine));
        }
        let mut desks = Vec::new();
        for number in 0..plan.desks.upstreams {
            let settings = DeskSettings {
                listen: free,
                ..plan.desk.clone()
            };
            let desk = DeskStandIn::start(settings).await?;
            places.push(place(plan, &plan.desks, number, desk.address()));
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
            places,
        ))
    }

    /// Ends an engine with everything that it runs; returns where it stood.
    pub async fn stop_engine(&mut self, number: usize) -> Option<EngineAddresses> {
        let engine = self.engines.get_mut(number)?.take()?;
        let addresses = EngineAddresses {
            control: engine.control_address(),
            work: engine.address(),
        };
        self.stopped.push(engine.close().await);
        Some(addresses)
    }

    /// Starts a stopped engine again, with an empty cache.
    ///
    /// # Errors
    ///
    /// Returns an error when an address was taken meanwhile.
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

    /// Returns the engines' addresses that no connection fault touches.
    #[must_use]
    pub fn engine_controls(&self) -> Vec<SocketAddr> {
        let engines = self.engines.iter().flatten();
        engines.map(EngineStandIn::control_address).collect()
    }

    /// Ends all engines and desks.
    pub async fn close(self) {
        for engine in self.engines.into_iter().flatten() {
            engine.close().await;
        }
        for desk in self.desks {
            desk.close().await;
        }
    }
}

fn place(plan: &SitePlan, pool: &PoolPlan, number: usize, address: SocketAddr) -> UpstreamPlace {
    UpstreamPlace {
        address,
        data_centre: plan.data_centre_of(number).to_owned(),
        name: plan.upstream_name(pool, number),
        pool: pool.name.clone(),
    }
}

/// Time for which a churned engine is away.
const CHURN_PAUSE: Duration = Duration::from_secs(1);

impl EngineChurn for &mut SiteUpstreams {
    async fn restart(&mut self, number: usize) {
        let number = number % self.engines.len().max(1);
        let Some(addresses) = self.stop_engine(number).await else {
            return;
        };
        time::sleep(CHURN_PAUSE).await;
        // An engine whose port is taken stays away, as a lost VM would.
        drop(self.restart_engine(number, addresses).await);
    }
}
