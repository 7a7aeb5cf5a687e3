//! Heads of requests and replies, independent of the wire format.

use {
    displaydoc::Display,
    poplargap_core::forward::{LoadReport, PromptPart},
    std::{net::SocketAddr, time::Duration},
};

/// The contents of a request's head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallHead {
    /// Time within which the caller wants its answer, if it sets one.
    pub deadline: Option<Duration>,
    /// The requested host.
    pub host: String,
    /// The caller's id of the request; each of the caller's own retries has a new one.
    pub id: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// The parts of the prompt in order.
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

/// The values that a daemon adds to the caller's head when it sends a request to a replica.
#[derive(Clone, Copy, Debug)]
pub struct SendHead<'a> {
    /// Time left until the deadline.
    pub deadline: Duration,
    /// Id of the event after which the stream resumes.
    pub last_event: Option<u64>,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Address of another replica that probably has the prompt's prefix cached.
    pub prompt_source: Option<SocketAddr>,
    /// Id of the intended replica; another replica at the same address refuses the request.
    pub replica: &'a str,
    /// Name of the caller's workspace.
    pub workspace: Option<&'a str>,
}

/// Why a replica didn't run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplyRefusal {
    /// The replica refused the request.
    NotExecuted,
    /// Another replica than the intended one answered.
    WrongReplica,
}

/// The contents of a reply's head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyHead {
    /// Id of the request that the reply belongs to.
    pub call_id: Option<String>,
    /// Whether the status tells the caller that the request didn't run, though the replica doesn't
    /// state it.
    pub claims_not_run: bool,
    /// Whether the reply has the replica's signature and its body isn't encoded.
    pub is_signed: bool,
    /// Whether the replica is leaving.
    pub is_leaving: bool,
    /// Time for which the replica keeps the idle connection open.
    pub keep_alive: Option<Duration>,
    /// The replica's load report.
    pub load: Option<LoadReport>,
    /// The replica's statement that it didn't run the request.
    pub refusal: Option<ReplyRefusal>,
    /// Id of the replica that answered, if it states one.
    pub replica: Option<String>,
    /// Time for which the replica wants no further requests.
    pub retry_after: Option<Duration>,
}
