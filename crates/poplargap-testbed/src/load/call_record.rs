//! What came of each call of a load.

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
    /// A call of a plain service.
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

/// What came of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Key of the call, when it carried one.
    pub idempotency_key: Option<String>,
    /// Kind of the call.
    pub kind: CallKind,
    /// Time from the planned start to the real one.
    pub late: Duration,
    /// Name of the request; a resent call keeps its name.
    pub request_id: String,
    /// Times that the call was sent.
    pub sends: u32,
    /// Cached and prompt tokens, when the answer told them.
    pub reuse: Option<ReuseCount>,
    /// Time to the first token, or to a service's whole answer.
    pub time_to_first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// Judgement over the answer.
    pub verdict: CallVerdict,
    /// Index of the workspace.
    pub workspace: usize,
}
