use {
    super::{ClientLimits, RouteEntry, ServiceEntry, WorkspaceEntry},
    crate::collections::HashMap,
    displaydoc::Display,
    std::{
        cmp::Reverse,
        fmt::{self, Debug, Formatter},
        sync::Arc,
    },
    strum::IntoStaticStr,
};

/// Why a request isn't admitted.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum AccessRefusal {
    /// no route serves this host and path
    NoRoute,
    /// no workspace has this key
    UnknownKey,
}

impl std::error::Error for AccessRefusal {}

/// The route and the workspace of an admitted request.
#[derive(Clone, Debug)]
pub struct RouteGrant {
    /// The route that matches the request.
    pub route: Arc<RouteEntry>,
    /// The caller's workspace; `None` if no key is required.
    pub workspace: Option<Arc<WorkspaceEntry>>,
}

/// One version of the routes, services, workspaces and client limits.
#[derive(Clone, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<RouteEntry>>>,
    keys: HashMap<String, Arc<WorkspaceEntry>>,
    limits: ClientLimits,
    needs_key: bool,
    services: HashMap<Arc<str>, ServiceEntry>,
    version: u64,
}

impl RouteTable {
    /// Creates a table; `workspaces` is `None` if callers need no keys.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<RouteEntry>,
        services: Vec<ServiceEntry>,
        workspaces: Option<Vec<WorkspaceEntry>>,
        limits: ClientLimits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteEntry>>> = HashMap::default();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        let needs_key = workspaces.is_some();
        let mut keys = HashMap::default();
        for mut workspace in workspaces.unwrap_or_default() {
            let shown = std::mem::take(&mut workspace.keys);
            let workspace = Arc::new(workspace);
            keys.extend(shown.into_iter().map(|key| (key, Arc::clone(&workspace))));
        }
        let services = services
            .into_iter()
            .map(|service| (Arc::clone(&service.name), service))
            .collect();
        Self {
            hosts,
            keys,
            limits,
            needs_key,
            services,
            version,
        }
    }

    /// Returns the limits for clients.
    #[must_use]
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the version number that the operator assigned.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the entry of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Admits a request: finds the route with the longest prefix and checks the caller's key.
    ///
    /// # Errors
    ///
    /// Returns an error if no route matches or the key is unknown.
    pub fn grant(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteGrant, AccessRefusal> {
        let host = bare_host(host).to_ascii_lowercase();
        let route = self
            .hosts
            .get(&host)
            .and_then(|routes| routes.iter().find(|route| path.starts_with(&route.prefix)))
            .ok_or(AccessRefusal::NoRoute)?;
        let workspace = key.and_then(|key| self.keys.get(key)).map(Arc::clone);
        if self.needs_key && !route.is_public && workspace.is_none() {
            return Err(AccessRefusal::UnknownKey);
        }
        Ok(RouteGrant {
            route: Arc::clone(route),
            workspace: workspace.filter(|_| !route.is_public),
        })
    }
}

impl Debug for RouteTable {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouteTable")
            .field("version", &self.version)
            .field("routes", &self.route_count())
            .finish_non_exhaustive()
    }
}

/// Returns a host without its port.
fn bare_host(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
