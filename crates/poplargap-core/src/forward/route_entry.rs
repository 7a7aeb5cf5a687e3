use std::{
    fmt::{self, Debug, Formatter},
    sync::Arc,
    time::Duration,
};

/// What may be done again for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatRule {
    /// The request may run several times.
    Idempotent,
    /// The request may run once at most.
    Once,
    /// The request's event stream may go on at another replica.
    Resumable,
}

impl RepeatRule {
    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        self != Self::Once
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: Arc<str>,
    /// Weight against the other shares of the route.
    pub weight: u32,
}

/// A route in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteEntry {
    /// Whether requests are generations whose prompts are cached by replicas.
    pub caches_prompts: bool,
    /// Host that callers name, in lower case and without a port.
    pub host: String,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether answers are event streams.
    pub is_stream: bool,
    /// Time within which an answer is worth most to its caller.
    pub latency_target: Duration,
    /// Most replicas that one request may be sent to.
    pub max_attempts: u32,
    /// The route's name.
    pub name: Arc<str>,
    /// Prefix of the paths, which begins and ends with a slash.
    pub prefix: String,
    /// Rank among the routes; 0 is the most urgent.
    pub priority: u8,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// The services that serve the route; never empty.
    pub shares: Vec<ServiceShare>,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
}

impl RouteEntry {
    /// Returns the service for a request whose point on the weights' scale is `point`.
    ///
    /// Equal points give equal services, so that one prompt stays with one service.
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

/// A service behind routes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceEntry {
    /// Most connections that one replica accepts from all daemons together.
    pub connections_max: u32,
    /// The service's name.
    pub name: Arc<str>,
}

/// A workspace and the keys that its callers show.
#[derive(Clone, Eq, PartialEq)]
pub struct WorkspaceEntry {
    /// The keys.
    pub keys: Vec<String>,
    /// The workspace's name.
    pub name: Arc<str>,
    /// Rank that goes before the routes' ranks, if any.
    pub priority: Option<u8>,
}

impl Debug for WorkspaceEntry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkspaceEntry")
            .field("keys", &self.keys.len())
            .field("name", &self.name)
            .field("priority", &self.priority)
            .finish()
    }
}
