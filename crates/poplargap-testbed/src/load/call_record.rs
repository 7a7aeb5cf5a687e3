//! Outcome of each call of a load.

use {
    super::{DeskWork, ReuseCount, WorkProfile},
    crate::caller::CallVerdict,
    std::time::Duration,
};

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// A turn of a chat.
    Chat(WorkProfile),
    /// A call of a service that isn't a model.
    Desk(DeskWork),
}

impl CallKind {
    /// Returns the name of the kind in reports.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::Chat(profile) => profile.to_string(),
            Self::Desk(work) => work.to_string(),
        }
    }
}

/// Outcome and times of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Idempotency key of the call, when it had one.
    pub idempotency_key: Option<String>,
    /// Kind of the call.
    pub kind: CallKind,
    /// Delay of the actual start after the planned one.
    pub late: Duration,
    /// ID of the request; a resent call keeps its ID.
    pub request_id: String,
    /// Number of times the call was sent.
    pub sends: u32,
    /// Cached and prompt tokens, when the answer reported them.
    pub reuse: Option<ReuseCount>,
    /// Time to the first token, or to a service's complete answer.
    pub time_to_first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// Result of checking the answer.
    pub verdict: CallVerdict,
    /// Index of the workspace in the load settings.
    pub workspace: usize,
}
