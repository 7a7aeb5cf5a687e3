//! Actions that follow the events of an attempt.

use {
    super::RunOutcome,
    serde::Serialize,
    strum::{Display, IntoStaticStr},
};

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallEnd {
    /// Whether the caller received the whole answer.
    pub complete: bool,
    /// Whether the call ran.
    pub outcome: RunOutcome,
}

/// Why an event isn't delivered to the caller.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DiscardReason {
    /// The event was delivered before.
    Duplicate,
    /// The event belongs to another request.
    ForeignRequest,
    /// The call has ended, or the event belongs to an earlier attempt.
    Late,
}

/// Action that follows an event.
///
/// [`AttemptStep::Resume`] and [`AttemptStep::Retry`] only permit another attempt. When the retry
/// budget is used up, the call is ended by [`CallAttempts::give_up`](super::CallAttempts::give_up).
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptStep {
    /// Wait for the next event.
    Continue,
    /// Deliver the event to the caller.
    Deliver,
    /// Discard the event.
    Discard(DiscardReason),
    /// Close the connection and request the answer from index `from` on over another one.
    Resume {
        /// The first index that the caller has not received.
        from: u64,
    },
    /// Close the connection and send the call again.
    Retry,
    /// Report the end of the call to the caller.
    Settle(CallEnd),
}
