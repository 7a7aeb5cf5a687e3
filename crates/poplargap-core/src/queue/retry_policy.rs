//! When a refused caller should come back.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
    strum::{Display, EnumString, IntoStaticStr, VariantNames},
};

/// Wait that [`RetryPolicy::Fixed`] names.
pub const RETRY_AFTER_FIXED: Duration = Duration::from_secs(2);

/// Longest wait that is named to a caller.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Shortest wait that is named to a caller.
pub const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// How the wait named to a refused caller is found.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    PartialEq,
    Serialize,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RetryPolicy {
    /// From the measured drain rate, spread so that callers come back at no more than that rate.
    DrainRate,
    /// Always [`RETRY_AFTER_FIXED`].
    #[default]
    Fixed,
}
