//! Headers of requests that travel from the entry daemon to an upstream's home.

use {
    displaydoc::Display,
    poplargap_core::{
        catalogue::PriorityClass,
        name::{ChatId, IdempotencyKey, RequestId, UpstreamName, WorkspaceName},
        owner::PlaceRequest,
        retry::RunOutcome,
        shard::ShardId,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    strum::IntoStaticStr,
};

/// Header with the [`RelayEnvelope`] as JSON.
pub const ENVELOPE_HEADER: &str = "x-poplargap-envelope";

/// Header with the fleet's proof.
pub const PROOF_HEADER: &str = "x-poplargap-proof";

/// Header with the name of the upstream that answers; absent from refusals.
pub const UPSTREAM_HEADER: &str = "x-poplargap-upstream";

/// Path of the relay listener's only route.
pub const RELAY_PATH: &str = "/v1/relay";

/// What the upstream is asked to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum RelayWork {
    /// A chat completion, streamed from the event with this index.
    Chat {
        /// The chat, if the caller named it.
        chat: Option<ChatId>,
        /// Index of the first event wanted.
        resume_from: u64,
    },
    /// A call of a plain service.
    Service {
        /// Type of the body.
        content_type: Option<String>,
        /// Key that makes repeated sends recognisable.
        idempotency_key: Option<IdempotencyKey>,
        /// HTTP method.
        method: String,
        /// Path and query at the service.
        path: String,
    },
}

/// What the home has to know of a request besides its body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RelayEnvelope {
    /// Time left for the whole request, in milliseconds.
    pub deadline_ms: u64,
    /// Number of daemons that have passed the request on.
    pub hops: u8,
    /// What decides the upstream.
    pub place: PlaceRequest,
    /// Order among waiting work.
    pub priority: PriorityClass,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The request's id.
    pub request_id: RequestId,
    /// The shard that is to serve the request.
    pub shard: ShardId,
    /// Whether the request may wait in the home's queue.
    pub wait: bool,
    /// What the upstream is asked to do.
    pub work: RelayWork,
    /// The caller's workspace.
    pub workspace: WorkspaceName,
}

/// Why a home didn't answer a request.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// the upstream's answer broke off
    Broken,
    /// the deadline can't be met
    Expired,
    /// every upstream of the shard is at its bound
    Full,
    /// the daemon is not the shard's home
    Moved,
    /// no upstream of the shard is up
    NoUpstream,
    /// the daemon's queue for the shard is full
    QueueFull,
    /// the request can't be read
    Unreadable,
    /// the daemon can't be reached
    Unreachable,
}

/// A home's refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RelayRefusal {
    /// Relay listener of the shard's owner according to the refusing daemon.
    #[serde(rename = "home")]
    pub owner: Option<SocketAddr>,
    /// What is known of the request's effects.
    pub ran: RunOutcome,
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Time after which a new try is useful, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The upstream at which the request failed.
    pub upstream: Option<UpstreamName>,
}

impl RelayRefusal {
    /// Creates a refusal of a request of which nothing ran.
    #[must_use]
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            owner: None,
            ran: RunOutcome::NotRun,
            reason,
            retry_after_ms: None,
            upstream: None,
        }
    }
}
