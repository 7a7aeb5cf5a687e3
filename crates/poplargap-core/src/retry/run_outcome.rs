//! What is known about whether a call ran.

use {
    serde::{Deserialize, Serialize},
    strum::{Display, EnumString, IntoStaticStr, VariantNames},
};

/// Whether a call ran; later variants outweigh earlier ones when attempts are joined.
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
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunOutcome {
    /// Provably nothing reached an upstream, or each upstream said that it didn't run the call.
    NotRun,
    /// The call may have run.
    Unknown,
    /// An upstream ran the call at least in part.
    Ran,
}
