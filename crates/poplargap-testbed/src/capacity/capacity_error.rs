//! Errors of capacity measurements.

use {crate::site::SiteError, displaydoc::Display, std::io};

/// Why a measurement failed.
#[derive(Debug, Display)]
pub enum CapacityError {
    /// the catalogue can't be written: {0}
    Catalogue(String),
    /// a file can't be used: {0}
    Io(io::Error),
    /// {done} of {planned} requests were answered whole
    Incomplete {
        /// Requests that got a complete answer.
        done: usize,
        /// Requests that should have been answered.
        planned: usize,
    },
    /// {0}
    Site(SiteError),
    /// the daemons did not reach revision {0} in time
    Stale(u64),
}

impl std::error::Error for CapacityError {}

impl From<io::Error> for CapacityError {
    fn from(source: io::Error) -> Self {
        Self::Io(source)
    }
}

impl From<SiteError> for CapacityError {
    fn from(source: SiteError) -> Self {
        Self::Site(source)
    }
}
