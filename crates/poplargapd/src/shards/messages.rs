//! Messages to the shard actor.

use {
    super::{AttemptResult, PlacePermit},
    poplargap_core::{
        catalogue::{PriorityClass, UpstreamEntry},
        collections::HashMap,
        instant::MonotonicInstant,
        name::{RequestId, UpstreamName, WorkspaceName},
        owner::PlaceRequest,
        shard::ShardId,
    },
    poplargap_link::envelope::RelayRefusal,
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// An upstream for a request, counted as in flight until the permit is closed or dropped.
#[derive(Debug)]
pub struct PlaceReply {
    /// Counts the request as in flight.
    pub permit: PlacePermit,
    /// The upstream.
    pub upstream: Arc<UpstreamEntry>,
}

/// Requests an upstream.
#[derive(Debug)]
pub struct PlaceWork {
    /// When the request has to be finished.
    pub deadline: MonotonicInstant,
    /// The request's id.
    pub id: RequestId,
    /// Priority among waiting requests.
    pub priority: PriorityClass,
    /// Channel of the reply.
    pub reply: oneshot::Sender<Result<PlaceReply, RelayRefusal>>,
    /// Data by which the upstream is chosen.
    pub request: PlaceRequest,
    /// The shard.
    pub shard: ShardId,
    /// Whether the request may wait.
    pub wait: bool,
    /// The caller's workspace.
    pub workspace: WorkspaceName,
}

/// Reports that a request at an upstream has ended.
#[derive(Debug)]
pub(super) struct ReleaseWork {
    pub(super) result: AttemptResult,
    pub(super) shard: ShardId,
    pub(super) upstream: UpstreamName,
}

/// Makes the actor read the catalogue, the members and the VM list, and serve its queues.
#[derive(Clone, Copy, Debug)]
pub struct RefreshShards;

/// Loads that the upstreams of a shard reported to its owner.
#[derive(Debug)]
pub struct ProbedLoads {
    /// Epoch of the owner that requested the reports.
    pub epoch: u64,
    /// Requests at each upstream by its own report, without upstreams that didn't answer.
    pub loads: HashMap<UpstreamName, u64>,
    /// The shard.
    pub shard: ShardId,
}
