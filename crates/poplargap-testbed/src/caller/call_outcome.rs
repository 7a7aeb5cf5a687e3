//! Outcome of a call, as observed by the caller.

use {
    super::RefusalRecord,
    crate::{desk::BookingAnswer, engine::UsageRecord},
    std::time::Duration,
};

/// Result of the check of one call's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallVerdict {
    /// The answer ended too early or was malformed.
    Broken {
        /// Description of the failure.
        detail: String,
    },
    /// The answer is complete and as expected.
    Complete,
    /// The answer differs from the expected one, as if it belonged to another call.
    Foreign {
        /// Description of the failure.
        detail: String,
    },
    /// The call was refused, either by its status or by an error event within the stream.
    Refused(RefusalRecord),
    /// No connection could be established, so nothing was sent.
    Unreachable {
        /// Description of the failure.
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

    /// Returns whether the answer is complete and as expected.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        *self == Self::Complete
    }
}

/// Outcome of one turn of a chat.
#[derive(Clone, Debug)]
pub struct ChatOutcome {
    /// Identifier of the request.
    pub request_id: String,
    /// Text received, complete or not.
    pub text: String,
    /// Time from the request to the first token, or to the answer when it isn't streamed.
    pub time_to_first_token: Option<Duration>,
    /// Times between consecutive tokens of a stream.
    pub token_gaps: Vec<Duration>,
    /// Token counts reported in the answer.
    pub usage: Option<UsageRecord>,
    /// Result of the check of the answer.
    pub verdict: CallVerdict,
}

impl ChatOutcome {
    /// Returns the longest time between two consecutive tokens.
    #[must_use]
    pub fn largest_gap(&self) -> Option<Duration> {
        self.token_gaps.iter().max().copied()
    }
}

/// Outcome of one service call.
#[derive(Clone, Debug)]
pub struct ServiceOutcome {
    /// The service's answer, if it could be read.
    pub answer: Option<BookingAnswer>,
    /// Identifier of the request.
    pub request_id: String,
    /// Time from the request to its outcome.
    pub time: Duration,
    /// Result of the check of the answer.
    pub verdict: CallVerdict,
}
