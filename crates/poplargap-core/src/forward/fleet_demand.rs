use {
    crate::{collections::HashMap, instant::MonotonicInstant, limit::UsageWindow},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time over which a daemon counts the requests of a service.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Age above which a peer's demand isn't counted.
const PEER_DEMAND_TTL: Duration = Duration::from_secs(2);

/// A daemon's requests of one service within the last second, as it tells its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceDemand {
    /// Number of requests that callers sent.
    pub requests: u32,
    /// The service.
    pub service: Arc<str>,
}

#[derive(Debug)]
struct DemandRecord {
    own: UsageWindow,
    peers: HashMap<SocketAddr, (f64, MonotonicInstant)>,
}

impl Default for DemandRecord {
    fn default() -> Self {
        Self {
            own: UsageWindow::new(DEMAND_WINDOW),
            peers: HashMap::default(),
        }
    }
}

/// The requests for services at all daemons, from this daemon's own and what its peers tell.
#[derive(Debug, Default)]
pub struct FleetDemand {
    services: HashMap<Arc<str>, DemandRecord>,
}

impl FleetDemand {
    /// Counts a caller's request at this daemon.
    pub fn record_own(&mut self, service: &Arc<str>, now: MonotonicInstant) {
        let record = self.services.entry(Arc::clone(service)).or_default();
        record.own.record(1, now);
    }

    /// Records what the daemon at `peer` told.
    pub fn record_peer(&mut self, peer: SocketAddr, demand: &ServiceDemand, now: MonotonicInstant) {
        if let Some(record) = self.services.get_mut(&demand.service) {
            record.peers.insert(peer, (demand.requests.into(), now));
        }
    }

    /// Returns this daemon's demands for its peers.
    pub fn own(&mut self, now: MonotonicInstant) -> Vec<ServiceDemand> {
        let services = self.services.iter_mut();
        services
            .map(|(service, record)| ServiceDemand {
                requests: u32::try_from(record.own.total(now)).unwrap_or(u32::MAX),
                service: Arc::clone(service),
            })
            .collect()
    }

    /// Estimates the requests a second at all `daemons` daemons; those that told nothing are taken
    /// to have as many as the others.
    pub fn per_second(&mut self, service: &str, daemons: usize, now: MonotonicInstant) -> f64 {
        let Some(record) = self.services.get_mut(service) else {
            return 0.0;
        };
        record
            .peers
            .retain(|_, (_, at)| now.since(*at) < PEER_DEMAND_TTL);
        let own = record.own.total(now) as f64;
        let told: f64 = record.peers.values().map(|(requests, _)| requests).sum();
        let known = record.peers.len() + 1;
        (own + told) * daemons.max(known) as f64 / known as f64
    }
}
