//! What to do after an event.

use {
    super::RunOutcome,
    serde::Serialize,
    strum::{Display, IntoStaticStr},
};

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallEnd {
    /// Whether the caller has the whole answer.
    pub complete: bool,
    /// Whether the call ran.
    pub outcome: RunOutcome,
}

/// Why an event isn't passed on.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DiscardReason {
    /// The event was passed on before.
    Duplicate,
    /// The event belongs to another request.
    ForeignRequest,
    /// The call is over, or the event belongs to an attempt that was given up.
    Late,
}

/// What to do after an event.
///
/// [`AttemptStep::Resume`] and [`AttemptStep::Retry`] are permissions; without a place in the
/// retry budget the call ends by [`CallAttempts::give_up`](super::CallAttempts::give_up).
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptStep {
    /// Wait for the next event.
    Continue,
    /// Pass the event on to the caller.
    Deliver,
    /// Drop the event.
    Discard(DiscardReason),
    /// Drop the connection and ask for the answer from index `from` on over another one.
    Resume {
        /// The first index that the caller lacks.
        from: u64,
    },
    /// Drop the connection and send the call again.
    Retry,
    /// Tell the caller how the call ended.
    Settle(CallEnd),
}
