//! The path of a caller's request, a filter each: accept, identify, admit, claim, place, relay, settle.

mod accept;
mod admit;
mod answer_relay;
mod chat;
mod claim;
mod identify;
mod owner_search;
mod pending_writes;
mod place;
mod problem;
mod request;
mod request_guard;
mod service;
mod trace;

pub use {
    accept::CallerServer,
    admit::{AdmitGate, AdmitPass},
    answer_relay::AnswerRelay,
    claim::{ClaimOutcome, ClaimStore, ClaimTicket},
    identify::Identity,
    place::{OwnerDirectory, Placement},
    poplargap_link::report::{RequestTrace, TraceStep},
    problem::{ProblemCode, RequestProblem},
    request::{CallTarget, CallerRequest, RouteHint},
    request_guard::RequestGuard,
    trace::TraceRing,
};

use {
    crate::{
        clock::ProcessClock,
        feed::PeerClients,
        invariant::InvariantMonitor,
        limits::LimitActor,
        members::{MemberView, VmView},
        metrics::DaemonMetrics,
        relay::RelayClient,
        shards::ChatTask,
    },
    poplargap_core::{catalogue::CatalogueSnapshot, name::DataCentre},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
    xtra::Address,
};

/// What every request's path needs; shared by all requests.
#[derive(Debug)]
pub struct RequestContext<S> {
    /// Bounds what callers hold at once.
    pub gate: AdmitGate,
    /// Longest wait for a body.
    pub body_deadline: Duration,
    /// Most bytes of a body.
    pub body_max: u64,
    /// The catalogue in force.
    pub catalogue: watch::Receiver<Arc<CatalogueSnapshot>>,
    /// Claims of calls that may not be repeated.
    pub claims: ClaimStore<S>,
    /// The daemon's clock.
    pub clock: ProcessClock,
    /// The own data centre.
    pub data_centre: DataCentre,
    /// Whether shards have homes; the baselines place without.
    pub has_owners: bool,
    /// What must always hold.
    pub invariants: InvariantMonitor,
    /// The members of the own data centre.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// The actor that admits under the catalogue's limits.
    pub limits: Address<LimitActor>,
    /// The daemon's metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// RPC clients, for homes in other data centres.
    pub peers: PeerClients,
    /// Clients of other daemons' relay listeners.
    pub relays: RelayClient,
    /// Homes in other data centres.
    pub owners: OwnerDirectory,
    /// Work for shards that this daemon is home to.
    pub task: ChatTask,
    /// The last requests' traces.
    pub traces: TraceRing,
    /// Daemons of other data centres.
    pub vms: watch::Receiver<Arc<VmView>>,
    /// Longest time that a caller may take no bytes.
    pub write: Duration,
}
