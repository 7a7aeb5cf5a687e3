//! HTTP clients of upstreams, one pool of connections for each.

use {
    futures::future,
    poplargap_core::{
        catalogue::UpstreamEntry,
        collections::{HashMap, HashMapExt},
        name::UpstreamName,
    },
    poplargap_store::ControlBytes,
    reqwest::{Client, redirect::Policy, retry},
    serde::Deserialize,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Path at which an upstream reports its load.
const LOAD_PATH: &str = "/load";

/// Longest wait for an upstream's own load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(250);

/// Attempts among which the remaining time of a repeatable request is divided.
const ATTEMPTS_IN_DEADLINE: u32 = 4;

/// Longest waits for progress at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ProgressLimits {
    /// Between two chunks of an answer.
    pub between_events: Duration,
    /// Until a new connection is open.
    pub connect: Duration,
    /// From sending a request to the first chunk of its answer.
    pub first_byte: Duration,
}

impl ProgressLimits {
    /// Returns the wait for the first byte of a request that may be repeated.
    ///
    /// It leaves time for further attempts if the connection hangs.
    #[must_use]
    pub fn repeatable_first_byte(&self, deadline: Duration) -> Duration {
        self.first_byte.min(deadline / ATTEMPTS_IN_DEADLINE)
    }
}

#[derive(Deserialize)]
struct LoadReport {
    running: u64,
    waiting: u64,
}

#[derive(Debug)]
struct PooledClient {
    address: SocketAddr,
    client: Client,
}

/// Clients of upstreams; cheap to clone.
#[derive(Clone, Debug)]
pub struct UpstreamClients {
    control: ControlBytes,
    fresh: Client,
    limits: ProgressLimits,
    pooled: Arc<Mutex<HashMap<UpstreamName, PooledClient>>>,
}

/// Builds a client that doesn't retry, follow redirects or use a proxy.
pub(crate) fn build_client(connect: Duration, idle_max: usize) -> Result<Client, reqwest::Error> {
    Client::builder()
        .connect_timeout(connect)
        .no_proxy()
        .pool_max_idle_per_host(idle_max)
        .redirect(Policy::none())
        .retry(retry::never())
        .tcp_nodelay(true)
        .build()
}

impl UpstreamClients {
    /// Creates clients without connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP library can't start.
    pub fn new(limits: ProgressLimits, control: ControlBytes) -> Result<Self, reqwest::Error> {
        let fresh = build_client(limits.connect, 0)?;
        let pooled = Arc::default();
        Ok(Self {
            control,
            fresh,
            limits,
            pooled,
        })
    }

    /// Returns the longest waits for progress.
    #[must_use]
    pub fn limits(&self) -> ProgressLimits {
        self.limits
    }

    /// Returns a client whose every request uses a connection of its own.
    #[must_use]
    pub fn fresh(&self) -> Client {
        self.fresh.clone()
    }

    /// Returns the client with the upstream's pool of connections.
    #[must_use]
    pub fn pooled(&self, upstream: &UpstreamEntry) -> Client {
        let mut pooled = self.pooled.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = pooled.get(&upstream.name)
            && entry.address == upstream.address
        {
            return entry.client.clone();
        }
        let Ok(client) = build_client(self.limits.connect, usize::MAX) else {
            return self.fresh.clone();
        };
        let entry = PooledClient {
            address: upstream.address,
            client: client.clone(),
        };
        pooled.insert(upstream.name.clone(), entry);
        client
    }

    /// Drops the upstream's pool, so that the next request uses a fresh connection.
    pub fn drop_pool(&self, upstream: &UpstreamName) {
        let mut pooled = self.pooled.lock().unwrap_or_else(PoisonError::into_inner);
        pooled.remove(upstream);
    }

    /// Reads the load reports of upstreams; those that don't answer in time are left out.
    pub async fn loads(&self, upstreams: &[Arc<UpstreamEntry>]) -> HashMap<UpstreamName, u64> {
        let reports = upstreams.iter().map(|upstream| async {
            let load = self.load(upstream).await?;
            Some((upstream.name.clone(), load))
        });
        let mut loads = HashMap::new();
        loads.extend(future::join_all(reports).await.into_iter().flatten());
        loads
    }

    async fn load(&self, upstream: &UpstreamEntry) -> Option<u64> {
        let url = format!("http://{}{LOAD_PATH}", upstream.address);
        self.control.add_connection("load-probe");
        let response = self
            .fresh
            .get(url)
            .timeout(LOAD_TIMEOUT)
            .send()
            .await
            .ok()?;
        let body = response.error_for_status().ok()?.bytes().await.ok()?;
        self.control
            .add_exchange("load-probe", LOAD_PATH.len(), body.len());
        let report: LoadReport = serde_json::from_slice(&body).ok()?;
        Some(report.running + report.waiting)
    }
}
