//! Heads of requests and replies, in the product's terms.

use {
    displaydoc::Display,
    poplargap_core::forward::{LoadReport, PromptPart},
    std::time::Duration,
};

/// What a request's head says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallHead {
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// The host that the caller names.
    pub host: String,
    /// The caller's id of the request; each of its attempts has a new one.
    pub id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Id of the event that the caller has seen last.
    pub last_event: Option<u64>,
    /// The prompt's parts in their order.
    pub prompt: Vec<PromptPart>,
}

/// A request's head that can't be read.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HeadError {
    /// the request has no id
    NoId,
    /// the request has no host
    NoHost,
    /// the request declares the length of its body in two ways
    TwoLengths,
}

impl std::error::Error for HeadError {}

/// What a daemon tells a replica besides the caller's own head.
#[derive(Clone, Copy, Debug)]
pub struct SendHead<'a> {
    /// Time that is left.
    pub deadline: Duration,
    /// Id of the event behind which a stream goes on.
    pub last_event: Option<u64>,
    /// Rank of the request; 0 is the most urgent.
    pub priority: u8,
    /// The replica that is meant; another one at its address refuses.
    pub replica: &'a str,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
}

/// What a reply's head says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyHead {
    /// Id of the request that is answered.
    pub call_id: Option<String>,
    /// Whether the reply bears the replica's signature over an unencoded body.
    pub is_signed: bool,
    /// Time for which the replica keeps the idle connection.
    pub keep_alive: Option<Duration>,
    /// The replica's load.
    pub load: Option<LoadReport>,
    /// Whether the replica says that it didn't run the request.
    pub not_executed: bool,
    /// Whether another replica than the one meant has answered.
    pub wrong_replica: bool,
}
