//! What is known of a request's effects.

use {
    serde::{Deserialize, Serialize},
    strum::{Display, EnumString, IntoStaticStr},
};

/// Whether a request reached an upstream and ran there.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    PartialEq,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunOutcome {
    /// Provably nothing ran: nothing was sent, or the upstream said so.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}
