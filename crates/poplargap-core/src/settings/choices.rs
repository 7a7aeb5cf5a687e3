//! Settings that are one of several words.

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// How log lines are written.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Terminal,
}

/// The least severe log lines that are written.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// Faults after which the daemon can't go on.
    Critical,
    /// Details for developers.
    Debug,
    /// Faults.
    Error,
    /// Changes of state.
    Info,
    /// Every step.
    Trace,
    /// What may become a fault.
    Warning,
}

/// How a request finds its upstream.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementPolicy {
    /// Plain consistent hash of the chat: a baseline.
    Hash,
    /// Last replica first, then the bounded order of the homes.
    Homed,
    /// Least reported load: a baseline.
    LeastLoad,
    /// Any upstream: a baseline.
    Random,
}
