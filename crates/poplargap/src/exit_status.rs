//! Exit codes of the program.

use std::process::ExitCode;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed; an edit that it reports as not written had no effect.
    Failed = 1,
    /// The command line or a file has faults.
    BadInput = 2,
    /// An edit is based on a version that is no longer in force.
    Conflict = 3,
    /// It isn't known whether a write took effect.
    Unknown = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
