//! Errors of test sites.

use {displaydoc::Display, std::io};

/// Error from the setup or control of a test site.
#[derive(Debug, Display)]
pub enum SiteError {
    /// the catalogue can't be applied: {0}
    Apply(String),
    /// a daemon can't start: {0}
    Daemon(String),
    /// a port or file can't be used: {0}
    Io(io::Error),
    /// the daemons were not ready within {0} s
    NotReady(u64),
    /// a request to the platform stand-in failed: {0}
    Platform(String),
    /// the program {0} isn't built; build the workspace first
    Program(String),
}

impl std::error::Error for SiteError {}

impl From<io::Error> for SiteError {
    fn from(source: io::Error) -> Self {
        Self::Io(source)
    }
}
