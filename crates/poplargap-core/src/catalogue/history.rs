//! Earlier versions of entries as the platform's store keeps them.
//!
//! A version is added here before the write that replaces it. A crash in between leaves the
//! version both here and in its bucket; nothing is lost, and the next writer finds it present.

use {
    super::{EntryRecord, EntryRef},
    serde::{Deserialize, Serialize},
};

/// Most versions that one history keeps.
pub const HISTORY_LEN_MAX: usize = 16;

/// Prefix of the histories' keys in the store.
pub const HISTORY_PREFIX: &str = "poplargap/history/";

/// Returns the store key of an entry's history.
#[must_use]
pub fn history_key(entry: &EntryRef) -> String {
    format!("{HISTORY_PREFIX}{}/{}", entry.kind, entry.name)
}

/// The versions of one entry that were replaced, oldest first.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HistoryRecord {
    versions: Vec<EntryRecord>,
}

impl HistoryRecord {
    /// Adds a version and returns whether it was missing.
    ///
    /// The oldest versions go when there are more than [`HISTORY_LEN_MAX`].
    pub fn add(&mut self, record: EntryRecord) -> bool {
        let version = record.version;
        let Err(position) = self
            .versions
            .binary_search_by_key(&version, |kept| kept.version)
        else {
            return false;
        };
        self.versions.insert(position, record);
        let excess = self.versions.len().saturating_sub(HISTORY_LEN_MAX);
        self.versions.drain(..excess);
        true
    }

    /// Returns the record of a version, when it is kept.
    #[must_use]
    pub fn get(&self, version: u64) -> Option<&EntryRecord> {
        self.versions.iter().find(|kept| kept.version == version)
    }

    /// Returns the versions, oldest first.
    #[must_use]
    pub fn versions(&self) -> &[EntryRecord] {
        &self.versions
    }
}
