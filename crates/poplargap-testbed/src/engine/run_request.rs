//! Requests as the engine's task processes them, and the events that it reports about them.

use {
    super::{AnswerScript, LoadRecord, PromptChain, UsageRecord},
    poplargap_core::catalogue::PriorityClass,
    tokio::{sync::mpsc, time::Instant},
};

/// Identifies a request within one engine; increases in order of submission.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct RunNumber(pub(super) u64);

/// A request with parsed headers, ready to be queued.
#[derive(Debug)]
pub(super) struct RunRequest {
    pub(super) chain: PromptChain,
    pub(super) chat_id: Option<String>,
    pub(super) deadline: Option<Instant>,
    pub(super) events: mpsc::UnboundedSender<RunEvent>,
    pub(super) from_index: usize,
    pub(super) number: RunNumber,
    pub(super) priority: PriorityClass,
    pub(super) request_id: String,
    pub(super) script: AnswerScript,
}

/// Progress that the engine's task reports to the handler of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunEvent {
    /// All tokens were produced.
    Finished { usage: UsageRecord },
    /// The request won't run.
    Refused { reason: RefusalReason },
    /// The request left the queue and is running.
    Started { load: LoadRecord },
    /// The token at `index` was produced.
    Token { index: usize },
}

/// Reason why a request isn't run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RefusalReason {
    Cancelled,
    DeadlinePassed,
    Draining,
}

impl RefusalReason {
    pub(super) fn message(self) -> &'static str {
        match self {
            Self::Cancelled => "the request was cancelled while it waited",
            Self::DeadlinePassed => "the request's deadline passed while it waited",
            Self::Draining => "the engine is draining",
        }
    }
}
