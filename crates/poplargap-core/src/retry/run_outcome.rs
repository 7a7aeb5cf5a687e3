//! Knowledge about whether a call ran.

use {
    serde::{Deserialize, Serialize},
    strum::{Display, EnumString, IntoStaticStr, VariantNames},
};

/// Whether a call ran.
///
/// The variants are ordered: the outcome of several attempts is their maximum.
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
    /// The call certainly didn't run: nothing was sent, or every upstream refused to run it.
    NotRun,
    /// The call may have run.
    Unknown,
    /// An upstream ran the call, at least in part.
    Ran,
}
