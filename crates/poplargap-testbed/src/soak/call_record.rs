//! Record of one call of a soak, as its caller observed it.

use {
    crate::{caller::CallVerdict, desk::BookingAnswer},
    std::time::Duration,
};

/// Kind of work that was requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallWork {
    /// A booking, which must not run twice.
    Booking {
        /// Its idempotency key.
        key: String,
    },
    /// A chat completion.
    Chat {
        /// Whether a streamed answer was requested.
        stream: bool,
    },
    /// A lookup at a desk, which may be repeated.
    Lookup,
}

/// One call and its outcome.
#[derive(Clone, Debug)]
pub struct SoakCall {
    /// The desk's answer to a booking.
    pub answer: Option<BookingAnswer>,
    /// Time at which it was sent, since the start of the soak.
    pub began: Duration,
    /// Number of the daemon that received the call.
    pub daemon: usize,
    /// Time at which its answer ended, since the start of the soak.
    pub ended: Duration,
    /// Longest time between two tokens of the answer.
    pub gap: Option<Duration>,
    /// Id of the request.
    pub request_id: String,
    /// Outcome of the call.
    pub verdict: CallVerdict,
    /// Kind of work that was requested.
    pub work: CallWork,
}

impl SoakCall {
    /// Returns whether the call may be repeated.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        !matches!(self.work, CallWork::Booking { .. })
    }

    /// Returns whether the call is a booking that was answered, with its own answer or with that
    /// to another request with the same idempotency key.
    #[must_use]
    pub fn is_replayed(&self) -> bool {
        !self.is_repeatable() && self.answer.is_some()
    }

    /// Returns the name of the outcome in the report.
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
