//! The states of a request between the filters.

use {
    crate::CallHead,
    bytes::Bytes,
    hyper::{HeaderMap, Method, Uri},
    poplargap_core::forward::{
        LeaveReason, PlacedBy, PromptSource, ReplicaId, ReportSource, RequestIdentity, RouteGrant,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// A request whose head and body have been read.
#[derive(Debug)]
pub(crate) struct ReceivedCall {
    pub(crate) started_at: Instant,
    pub(crate) body: Bytes,
    pub(crate) head: CallHead,
    pub(crate) headers: HeaderMap,
    pub(crate) method: Method,
    pub(crate) target: Uri,
}

/// A request that has been admitted.
#[derive(Debug)]
pub(crate) struct AdmittedCall {
    pub(crate) received: ReceivedCall,
    /// Requests a second that a cold replica of the service bears; zero if it bears any load.
    pub(crate) cold_per_second: f64,
    /// Latest time for the caller's final answer.
    pub(crate) deadline: Instant,
    pub(crate) grant: RouteGrant,
    pub(crate) identity: RequestIdentity,
    /// Key of the prompt's shared parts, if prompts are cached and there are any.
    pub(crate) placement_key: Option<u64>,
    pub(crate) routes_version: u64,
    pub(crate) service: Arc<str>,
}

impl AdmittedCall {
    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time until the latency target; zero after it.
    pub(crate) fn target_left(&self) -> Duration {
        let target = self.received.started_at + self.grant.route.latency_target;
        target.saturating_duration_since(Instant::now())
    }

    /// Returns the request's priority; that of the workspace overrides that of the route.
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

/// The least urgent priority.
const PRIORITY_MAX: u8 = 9;

/// The replica that was chosen for a request, and the data behind the choice, for the log.
#[derive(Clone, Debug)]
pub(crate) struct PlacementRecord {
    /// Number of the service's replicas.
    pub(crate) candidates: usize,
    /// The daemon's own requests at the replica.
    pub(crate) in_flight: u32,
    /// Why the request left its data centre.
    pub(crate) leaves: Option<LeaveReason>,
    /// Estimated mean of the replicas' requests.
    pub(crate) mean: f64,
    /// The criterion that decided.
    pub(crate) placed_by: PlacedBy,
    /// Position in the prompt's rendezvous order.
    pub(crate) rank: Option<usize>,
    pub(crate) replica: ReplicaId,
    /// Age of the replica's last load report.
    pub(crate) report_age: Option<Duration>,
    /// How that report was received.
    pub(crate) report_source: Option<ReportSource>,
    /// Estimated requests at the replica.
    pub(crate) requests: f64,
    /// The replica from which the chosen one may fetch the prompt's prefix.
    pub(crate) source: Option<PromptSource>,
    /// The expected times, if the service's replicas state their pace.
    pub(crate) timed: Option<TimedRecord>,
}

/// The expected times behind a choice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedRecord {
    /// Expected time from the send to the answer.
    pub(crate) expected: Duration,
    /// Factor on the work's time at an idle replica of the usual pace.
    pub(crate) factor: f64,
    /// Expected time at the best other replica.
    pub(crate) next_best: Option<Duration>,
    /// Factor of the replica's pace.
    pub(crate) pace: f64,
    /// Age of the replica's last statement of its pace.
    pub(crate) pace_age: Option<Duration>,
}
