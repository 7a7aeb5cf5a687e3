//! State of the current attempt at a call.

use {
    super::CallEnd,
    serde::Serialize,
    strum::{Display, IntoStaticStr},
};

/// Progress of the current attempt.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptState {
    /// Nothing was sent to an upstream.
    Unsent,
    /// The call may have reached an upstream.
    Sent,
    /// The answer has begun.
    Answering,
    /// The call has ended; later events are discarded.
    Settled(CallEnd),
}
