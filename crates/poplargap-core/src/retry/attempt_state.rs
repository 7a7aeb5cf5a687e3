//! The states of an attempt.

use {
    super::CallEnd,
    serde::Serialize,
    strum::{Display, IntoStaticStr},
};

/// How far the present attempt has come.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptState {
    /// Nothing has left for an upstream.
    Unsent,
    /// The call may have reached an upstream.
    Sent,
    /// The answer has begun.
    Answering,
    /// The call is over; whatever arrives late is ignored.
    Settled(CallEnd),
}
