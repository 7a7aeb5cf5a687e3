//! A request on its way through the filters.

use {
    crate::CallHead,
    bytes::Bytes,
    hyper::{HeaderMap, Method, Uri},
    poplargap_core::forward::{PlacedBy, ReplicaId, ReportSource, RouteGrant},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// A request whose head and body were read.
#[derive(Debug)]
pub(crate) struct ReceivedCall {
    pub(crate) received_at: Instant,
    pub(crate) body: Bytes,
    pub(crate) head: CallHead,
    pub(crate) headers: HeaderMap,
    pub(crate) method: Method,
    pub(crate) target: Uri,
}

/// A request that was let in.
#[derive(Debug)]
pub(crate) struct AdmittedCall {
    pub(crate) call: ReceivedCall,
    /// When the caller gets its final answer at the latest.
    pub(crate) deadline: Instant,
    pub(crate) grant: RouteGrant,
    /// Key of the prompt's shared parts.
    pub(crate) placement: Option<u64>,
    pub(crate) routes_version: u64,
    pub(crate) service: Arc<str>,
}

impl AdmittedCall {
    /// Returns the time until the final answer.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the request's rank; a workspace's rank goes before its route's.
    pub(crate) fn priority(&self) -> u8 {
        let workspace = self.grant.workspace.as_ref();
        let own = workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.grant.route.priority).min(PRIORITY_MAX)
    }

    /// Returns the name of the caller's workspace.
    pub(crate) fn workspace(&self) -> Option<&str> {
        self.grant
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.as_ref())
    }
}

/// The least urgent rank.
const PRIORITY_MAX: u8 = 9;

/// Where a request was placed, and what was known then.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRecord {
    /// Replicas of the service that were known.
    pub(crate) candidates: usize,
    /// The daemon's own requests there.
    pub(crate) in_flight: u32,
    /// The mean of the replicas' requests, as estimated.
    pub(crate) mean: f64,
    /// What decided.
    pub(crate) placed_by: PlacedBy,
    /// Place in the prompt's order of replicas.
    pub(crate) rank: Option<usize>,
    pub(crate) replica: ReplicaId,
    /// Age of the replica's last report of its load.
    pub(crate) report_age: Option<Duration>,
    /// Who brought that report.
    pub(crate) report_source: Option<ReportSource>,
    /// The replica's requests, as estimated.
    pub(crate) requests: f64,
}
