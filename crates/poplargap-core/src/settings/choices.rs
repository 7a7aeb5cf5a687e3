//! Settings with a fixed set of values.

use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// Format of log lines.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for reading in a terminal.
    Terminal,
}

/// Lowest severity of the log lines that are written.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, IntoStaticStr, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// Errors that stop the daemon.
    Critical,
    /// Details for developers.
    Debug,
    /// Errors after which the daemon continues.
    Error,
    /// Changes of state in normal operation.
    Info,
    /// Single steps, in the greatest detail.
    Trace,
    /// Conditions that may lead to errors.
    Warning,
}
