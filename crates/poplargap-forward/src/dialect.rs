//! Interfaces to the wire format and to the format of stored values.

use {
    crate::{CallHead, HeadError, LocalAnswer, ReplyHead, SendHead},
    displaydoc::Display,
    hyper::{
        HeaderMap,
        http::{request, response},
    },
    poplargap_core::{
        forward::{ReplicaEntry, RouteTable},
        instant::MonotonicInstant,
    },
};

/// Why a stored value can't be decoded.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct DecodeError(
    /// {0}
    pub String,
);

impl std::error::Error for DecodeError {}

/// The wire format of requests and replies.
pub trait WireDialect: Clone + Send + Sync + 'static {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the head.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, HeadError>;

    /// Reads a reply's head.
    fn read_reply(&self, head: &response::Parts) -> ReplyHead;

    /// Returns the path of the readiness probe.
    fn ready_path(&self) -> &str;

    /// Returns the headers of the daemon's own answer to the request `id`.
    fn write_answer(&self, answer: &LocalAnswer, id: Option<&str>) -> HeaderMap;

    /// Returns the headers of the answer to the caller, from those of a replica's reply.
    fn write_reply(&self, headers: HeaderMap) -> HeaderMap;

    /// Returns the headers of the request to the replica, from those of the caller's request.
    fn write_send(&self, headers: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;
}

/// The keys and the format of the values that the daemon reads from the store.
pub trait FeedDialect: Clone + Send + Sync + 'static {
    /// Returns the key of the routes in force.
    fn routes_key(&self) -> &str;

    /// Returns the key prefix of the replicas' registrations.
    fn replicas_prefix(&self) -> &str;

    /// Returns the key prefix of the operators' requests to evacuate a data centre, whose name follows.
    fn evacuations_prefix(&self) -> &str;

    /// Decodes the routes.
    ///
    /// # Errors
    ///
    /// Returns an error if the value isn't a valid configuration.
    fn read_routes(&self, value: &str) -> Result<RouteTable, DecodeError>;

    /// Decodes a replica's registration, which was read at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if the value isn't a valid registration.
    fn read_replica(
        &self,
        id: &str,
        value: &str,
        now: MonotonicInstant,
    ) -> Result<ReplicaEntry, DecodeError>;
}
