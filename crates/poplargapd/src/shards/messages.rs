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

/// Asks for an upstream.
#[derive(Debug)]
pub struct PlaceWork {
    /// When the request has to be finished.
    pub deadline: MonotonicInstant,
    /// The request's id.
    pub id: RequestId,
    /// Order among waiting work.
    pub priority: PriorityClass,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Result<PlaceReply, RelayRefusal>>,
    /// What decides the upstream.
    pub request: PlaceRequest,
    /// The shard.
    pub shard: ShardId,
    /// Whether the request may wait.
    pub wait: bool,
    /// The caller's workspace.
    pub workspace: WorkspaceName,
}

/// Tells that a request at an upstream has ended.
#[derive(Debug)]
pub(super) struct ReleaseWork {
    pub(super) result: AttemptResult,
    pub(super) shard: ShardId,
    pub(super) upstream: UpstreamName,
}

/// Makes the actor look at catalogue, members and VM list, and at its queues.
#[derive(Clone, Copy, Debug)]
pub struct RefreshShards;

/// Loads that the upstreams of a shard report while its new home takes over.
#[derive(Debug)]
pub struct TakeoverLoads {
    /// Epoch of the takeover that asked.
    pub epoch: u64,
    /// Requests at each upstream by its own report; upstreams without an answer are missing.
    pub loads: HashMap<UpstreamName, u64>,
    /// The shard.
    pub shard: ShardId,
}
