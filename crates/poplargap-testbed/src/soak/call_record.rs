//! One call of a soak, as its caller saw it.

use {
    crate::{caller::CallVerdict, desk::BookingAnswer},
    std::time::Duration,
};

/// What was called.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallWork {
    /// A booking, which may not be repeated.
    Booking {
        /// Its idempotency key.
        key: String,
    },
    /// A chat, streamed or whole.
    Chat {
        /// Whether the answer was streamed.
        stream: bool,
    },
    /// A lookup.
    Lookup,
}

/// One call and what came of it.
#[derive(Clone, Debug)]
pub struct SoakCall {
    /// The desk's answer to a booking.
    pub answer: Option<BookingAnswer>,
    /// When it was sent, since the start.
    pub began: Duration,
    /// Number of the daemon that the caller asked.
    pub daemon: usize,
    /// When its answer ended, since the start.
    pub ended: Duration,
    /// Largest time between two tokens.
    pub gap: Option<Duration>,
    /// Name of the request.
    pub request_id: String,
    /// What came of it.
    pub verdict: CallVerdict,
    /// What was called.
    pub work: CallWork,
}

impl SoakCall {
    /// Returns whether the call may be repeated.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        !matches!(self.work, CallWork::Booking { .. })
    }

    /// Returns whether a booking got an answer to one of its sends, its own or another.
    #[must_use]
    pub fn is_replayed(&self) -> bool {
        !self.is_repeatable() && self.answer.is_some()
    }

    /// Returns the outcome's name for the tables.
    #[must_use]
    pub fn outcome(&self) -> String {
        match &self.verdict {
            CallVerdict::Broken { .. } => "broken".to_owned(),
            CallVerdict::Complete => "complete".to_owned(),
            CallVerdict::Foreign { .. } if self.is_replayed() => "replayed".to_owned(),
            CallVerdict::Foreign { .. } => "foreign".to_owned(),
            CallVerdict::Refused(refusal) => format!("{} ({})", refusal.code, refusal.ran),
            CallVerdict::Unreachable { .. } => "unreachable".to_owned(),
        }
    }
}
