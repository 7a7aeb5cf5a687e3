//! The steps of a caller's request: accept, identify, admit, claim, place, relay, account.

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

/// State that the steps need, shared by all requests.
#[derive(Debug)]
pub struct RequestContext<S> {
    /// Bounds the requests in flight.
    pub gate: AdmitGate,
    /// Longest time in which a body may arrive.
    pub body_deadline: Duration,
    /// Longest accepted body, in bytes.
    pub body_max: u64,
    /// The catalogue in force.
    pub catalogue: watch::Receiver<Arc<CatalogueSnapshot>>,
    /// Claims of calls that may not be repeated.
    pub claims: ClaimStore<S>,
    /// The daemon's clock.
    pub clock: ProcessClock,
    /// The own data centre.
    pub data_centre: DataCentre,
    /// Whether shards have owners; under a baseline policy every daemon places requests itself.
    pub has_owners: bool,
    /// Checks the daemon's invariants at run time.
    pub invariants: InvariantMonitor,
    /// The members of the own data centre.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// The actor that admits under the catalogue's limits.
    pub limits: Address<LimitActor>,
    /// The daemon's metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// RPC clients, which look up shard owners in other data centres.
    pub peers: PeerClients,
    /// Clients of other daemons' relay listeners.
    pub relays: RelayClient,
    /// Addresses of shard owners in other data centres.
    pub owners: OwnerDirectory,
    /// Runs chats and calls for shards that this daemon owns.
    pub task: ChatTask,
    /// Traces of the last requests.
    pub traces: TraceRing,
    /// Daemons of other data centres.
    pub vms: watch::Receiver<Arc<VmView>>,
    /// Longest time for which a caller may accept no bytes.
    pub write_timeout: Duration,
}
