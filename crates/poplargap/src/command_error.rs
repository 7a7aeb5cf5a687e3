//! Errors of commands.

use {
    crate::{EditConflict, ExitStatus, StaleVersions, UnknownEdit},
    displaydoc::Display,
    poplargap_core::{catalogue::EntryRef, finding::InputFindings},
    poplargap_store::StoreError,
    serde_json::{Value, json},
};

/// Why a command didn't succeed.
#[derive(Clone, Debug, Display)]
pub enum CommandError {
    /// {0}
    Arguments(String),
    /// the value of `{key}` in the store can't be read: {reason}
    BucketUnreadable {
        /// The value's key.
        key: String,
        /// Why it can't be read.
        reason: String,
    },
    /// the HTTP client can't be set up: {0}
    ClientUnusable(String),
    /// {0}
    Conflict(EditConflict),
    /// {silent} of {asked} daemons gave no status
    DaemonsSilent {
        /// Daemons that the request was sent to.
        asked: usize,
        /// Daemons without a usable answer.
        silent: usize,
    },
    /// {0}
    Findings(InputFindings),
    /// there is no `{entry}`{hint}
    NoEntry {
        /// The entry.
        entry: EntryRef,
        /// A suggestion of another entry, or an empty text.
        hint: String,
    },
    /// no daemon that answered knows the request `{0}`
    NoRequest(String),
    /// version {version} of `{entry}` isn't kept; `poplargap history {entry}` lists the versions
    NoVersion {
        /// The entry.
        entry: EntryRef,
        /// The requested version.
        version: u64,
    },
    /// the output can't be written: {0}
    OutputLost(String),
    /// the store can't be read: {0}
    StoreUnread(StoreError),
    /// the store didn't take the edit of `{entry}`; it had no effect: {reason}
    StoreUnwritten {
        /// The entry.
        entry: EntryRef,
        /// Why the edit wasn't written.
        reason: String,
    },
    /// {0}
    Unknown(UnknownEdit),
    /// {0}
    VersionsStale(StaleVersions),
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// Returns the program's exit code for this error.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Arguments(_)
            | Self::Findings(_)
            | Self::NoEntry { .. }
            | Self::NoVersion { .. } => ExitStatus::BadInput,
            Self::BucketUnreadable { .. }
            | Self::ClientUnusable(_)
            | Self::DaemonsSilent { .. }
            | Self::NoRequest(_)
            | Self::OutputLost(_)
            | Self::StoreUnread(_)
            | Self::StoreUnwritten { .. } => ExitStatus::Failed,
            Self::Conflict(_) | Self::VersionsStale(_) => ExitStatus::Conflict,
            Self::Unknown(_) => ExitStatus::Unknown,
        }
    }

    /// Returns the error as the JSON object that `--json` writes.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let exit_code = self.exit_status() as u8;
        match self {
            Self::Conflict(conflict) => json!({"conflicts": [conflict], "exit-code": exit_code}),
            Self::Findings(findings) => json!({"exit-code": exit_code, "findings": findings}),
            Self::Unknown(edit) => json!({"exit-code": exit_code, "unknown": edit}),
            Self::VersionsStale(stale) => json!({"conflicts": stale, "exit-code": exit_code}),
            error => json!({"exit-code": exit_code, "message": error.to_string()}),
        }
    }
}
