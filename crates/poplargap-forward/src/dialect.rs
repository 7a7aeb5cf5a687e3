//! What the filters need to know of the world's wire formats.

use {
    crate::{CallHead, HeadError, LocalAnswer, ReplyHead, SendHead},
    displaydoc::Display,
    hyper::{
        HeaderMap,
        http::{request, response},
    },
    poplargap_core::forward::{ReplicaEntry, RouteTable},
};

/// A stored value that can't be read.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct DecodeError(
    /// {0}
    pub String,
);

impl std::error::Error for DecodeError {}

/// Names and formats of requests and replies.
pub trait WireDialect: Clone + Send + Sync + 'static {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the head.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, HeadError>;

    /// Reads a reply's head.
    fn read_reply(&self, head: &response::Parts) -> ReplyHead;

    /// Returns the path of the question whether the daemon is ready.
    fn ready_path(&self) -> &str;

    /// Returns the headers of a daemon's own answer to the request `id`.
    fn write_answer(&self, answer: &LocalAnswer, id: Option<&str>) -> HeaderMap;

    /// Returns the headers that the caller gets of a replica's `headers`.
    fn write_reply(&self, headers: HeaderMap) -> HeaderMap;

    /// Returns the headers that the replica gets of the caller's `headers`.
    fn write_send(&self, headers: &HeaderMap, send: &SendHead<'_>) -> HeaderMap;
}

/// Keys and values of the store that the filters follow.
pub trait FeedDialect: Clone + Send + Sync + 'static {
    /// Returns the key of the routes in force.
    fn routes_key(&self) -> &str;

    /// Returns the prefix of the keys of registered replicas.
    fn replicas_prefix(&self) -> &str;

    /// Reads the routes.
    ///
    /// # Errors
    ///
    /// Returns why the value holds no routes.
    fn read_routes(&self, value: &str) -> Result<RouteTable, DecodeError>;

    /// Reads a replica's registration.
    ///
    /// # Errors
    ///
    /// Returns why the value names no replica.
    fn read_replica(&self, id: &str, value: &str) -> Result<ReplicaEntry, DecodeError>;
}
