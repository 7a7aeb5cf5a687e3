//! Policies for the retry delay given to refused callers.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
    strum::{Display, EnumString, IntoStaticStr, VariantNames},
};

/// Retry delay of [`RetryPolicy::Fixed`].
pub const RETRY_AFTER_FIXED: Duration = Duration::from_secs(2);

/// Longest retry delay given to a caller.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Shortest retry delay given to a caller.
pub const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// How the retry delay of a refused caller is determined.
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
    /// From the measured drain rate, spread so that callers retry at no more than that rate.
    DrainRate,
    /// Always [`RETRY_AFTER_FIXED`].
    #[default]
    Fixed,
}
