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
