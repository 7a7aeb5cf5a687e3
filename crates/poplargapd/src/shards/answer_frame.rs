//! Answers that a shard's owner returns to the entry daemon, in one process or over the relay.

use {
    bytes::Bytes,
    poplargap_core::name::UpstreamName,
    poplargap_link::envelope::{RelayEnvelope, RelayRefusal},
};

/// One part of a chat's answer, from the shard's owner to the entry daemon.
///
/// The first frame is `Upstream` or `Refused`. A stream that ends without `Ended` is incomplete.
#[derive(Debug)]
pub enum AnswerFrame {
    /// Bytes of the upstream's event stream.
    Chunk(Bytes),
    /// The upstream's stream ended.
    Ended,
    /// The attempt failed.
    Refused(RelayRefusal),
    /// This upstream answers the request.
    Upstream(UpstreamName),
}

/// A call of a plain service, as the shard's owner gets it.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The call's body.
    pub body: Bytes,
    /// Everything but the body.
    pub envelope: RelayEnvelope,
}

/// A plain service's whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// The answer's body.
    pub body: Bytes,
    /// Type of the body.
    pub content_type: Option<String>,
    /// HTTP status.
    pub status: u16,
    /// The upstream that answered.
    pub upstream: UpstreamName,
}
