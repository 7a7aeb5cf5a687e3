//! Headers of requests that the entry daemon relays to the owner of an upstream's shard.

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

/// Header with the name of the upstream that answers; absent in refusals.
pub const UPSTREAM_HEADER: &str = "x-poplargap-upstream";

/// Path of the only route of the relay listener.
pub const RELAY_PATH: &str = "/v1/relay";

/// The request to the upstream, by kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum RelayWork {
    /// A chat completion, streamed from the event `resume_from` on.
    Chat {
        /// Id of the chat, if the caller gave one.
        chat: Option<ChatId>,
        /// Index of the first event to send.
        resume_from: u64,
    },
    /// A call of a plain service.
    Service {
        /// Content type of the body.
        content_type: Option<String>,
        /// Key that identifies repeated sends of the call.
        idempotency_key: Option<IdempotencyKey>,
        /// HTTP method.
        method: String,
        /// Path and query of the request to the service.
        path: String,
    },
}

/// Data that a shard owner needs on a relayed request in addition to its body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RelayEnvelope {
    /// Time until the request's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Number of daemons that have relayed the request.
    pub hops: u8,
    /// Input to the choice of the upstream.
    pub place: PlaceRequest,
    /// Priority class among waiting requests.
    pub priority: PriorityClass,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The request's id.
    pub request_id: RequestId,
    /// The shard that should serve the request.
    pub shard: ShardId,
    /// Whether the request may wait in the shard owner's queue.
    pub wait: bool,
    /// The request to the upstream.
    pub work: RelayWork,
    /// The caller's workspace.
    pub workspace: WorkspaceName,
}

/// Why a relayed request was refused or failed.
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

/// Refusal of a relayed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RelayRefusal {
    /// Relay listener of the shard's owner according to the refusing daemon.
    #[serde(rename = "home")]
    pub owner: Option<SocketAddr>,
    /// What is known about whether the request ran.
    pub ran: RunOutcome,
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The upstream at which the request failed.
    pub upstream: Option<UpstreamName>,
}

impl RelayRefusal {
    /// Creates a refusal of a request that certainly didn't run.
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
