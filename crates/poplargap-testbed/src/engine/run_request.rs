//! One request on its way through the engine's task.

use {
    super::{AnswerScript, LoadRecord, PromptChain, UsageRecord},
    poplargap_core::catalogue::PriorityClass,
    tokio::{sync::mpsc, time::Instant},
};

/// Number of one request inside one engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct RunNumber(pub(super) u64);

/// A checked request.
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

/// What the engine's task tells the handler of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunEvent {
    /// All tokens were produced.
    Finished {
        usage: UsageRecord,
    },
    /// It will not run.
    Refused {
        reason: RefusalReason,
    },
    /// It left the queue and runs.
    Started {
        load: LoadRecord,
    },
    Token {
        index: usize,
    },
}

/// Why a request does not run.
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
