use std::{
    fmt::{self, Debug, Formatter},
    sync::Arc,
    time::Duration,
};

/// Whether and how a request may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatRule {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The request's event stream may be resumed at another replica.
    Resumable,
}

impl RepeatRule {
    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        self != Self::Once
    }
}

/// The weighted share of a route's requests that a service gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// A route: which requests it matches and how they are forwarded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteEntry {
    /// Whether replicas cache the requests' prompts.
    pub caches_prompts: bool,
    /// Longest pause between two events of a stream; zero if none is set.
    pub gap_target: Duration,
    /// Regions that the route's requests may use; empty if they may use all.
    pub homes: Vec<Arc<str>>,
    /// Host name in lower case, without a port.
    pub host: String,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether replies are event streams.
    pub is_stream: bool,
    /// Latency target: an answer within this time is worth most to the caller.
    pub latency_target: Duration,
    /// Most replicas that may run one request.
    pub max_attempts: u32,
    /// The route's name.
    pub name: Arc<str>,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether and how requests may be repeated.
    pub repeat: RepeatRule,
    /// The services that serve the route; never empty.
    pub shares: Vec<ServiceShare>,
    /// Longest time until a caller gets its final answer.
    pub timeout: Duration,
}

impl RouteEntry {
    /// Returns the service for a request, selected by `point` modulo the sum of the weights.
    ///
    /// Equal points select the same service, so that a prompt stays with one service.
    #[must_use]
    pub fn service_at(&self, point: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut rest = point % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        None
    }
}

/// A service that routes forward to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Requests a second that a cold replica bears from all daemons together; zero if cold replicas
    /// bear any load.
    pub cold_per_second: f64,
    /// Most connections that one replica accepts from all daemons together.
    pub connections_max: u32,
    /// The service's name.
    pub name: Arc<str>,
}

/// A workspace and its callers' API keys.
#[derive(Clone, Eq, PartialEq)]
pub struct WorkspaceEntry {
    /// Regions that the workspace's requests may use; empty if they may use all.
    pub homes: Vec<Arc<str>>,
    /// The API keys.
    pub keys: Vec<String>,
    /// The workspace's name.
    pub name: Arc<str>,
    /// Priority that overrides that of the routes, if any.
    pub priority: Option<u8>,
}

impl Debug for WorkspaceEntry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkspaceEntry")
            .field("homes", &self.homes)
            .field("keys", &self.keys.len())
            .field("name", &self.name)
            .field("priority", &self.priority)
            .finish()
    }
}
