//! What came of a call, as the caller saw it.

use {
    super::RefusalRecord,
    crate::{desk::BookingAnswer, engine::UsageRecord},
    std::time::Duration,
};

/// Judgement over the answer to one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallVerdict {
    /// The answer ended too early, or not in a known form.
    Broken {
        /// What was wrong.
        detail: String,
    },
    /// The whole answer to this call, and only that.
    Complete,
    /// Part of the answer belongs to another call.
    Foreign {
        /// What was wrong.
        detail: String,
    },
    /// The call was refused, at once or in the middle of a stream.
    Refused(RefusalRecord),
    /// No connection came about: nothing was sent.
    Unreachable {
        /// What was wrong.
        detail: String,
    },
}

impl CallVerdict {
    pub(super) fn broken(detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self::Broken { detail }
    }

    pub(super) fn foreign(detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self::Foreign { detail }
    }

    /// Returns whether the answer is whole and the caller's own.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        *self == Self::Complete
    }
}

/// What came of one turn of a chat.
#[derive(Clone, Debug)]
pub struct ChatOutcome {
    /// Name of the request.
    pub request_id: String,
    /// Text that came, whole or not.
    pub text: String,
    /// Time from the call to the first token; for whole answers, to the answer.
    pub time_to_first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// Token counts, when the answer had them.
    pub usage: Option<UsageRecord>,
    /// Judgement over the answer.
    pub verdict: CallVerdict,
}

impl ChatOutcome {
    /// Returns the longest time between two tokens.
    #[must_use]
    pub fn largest_gap(&self) -> Option<Duration> {
        self.token_gaps.iter().max().copied()
    }
}

/// What came of one service call.
#[derive(Clone, Debug)]
pub struct ServiceOutcome {
    /// The service's answer.
    pub answer: Option<BookingAnswer>,
    /// Name of the request.
    pub request_id: String,
    /// Time from the call to the answer.
    pub time: Duration,
    /// Judgement over the answer.
    pub verdict: CallVerdict,
}
