//! Format of the earlier versions of entries in the platform's store.
//!
//! A writer adds the current version to the history before it replaces that version in the bucket.
//! A crash in between leaves the version in both places, so nothing is lost; the next writer finds
//! it in the history already and doesn't add it again.

use {
    super::{EntryRecord, EntryRef},
    serde::{Deserialize, Serialize},
};

/// Largest number of versions in one history.
pub const HISTORY_LEN_MAX: usize = 16;

/// Prefix of the store keys of all histories.
pub const HISTORY_PREFIX: &str = "poplargap/history/";

/// Returns the store key of an entry's history.
#[must_use]
pub fn history_key(entry: &EntryRef) -> String {
    format!("{HISTORY_PREFIX}{}/{}", entry.kind, entry.name)
}

/// Replaced versions of one entry, oldest first.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct HistoryRecord {
    versions: Vec<EntryRecord>,
}

impl HistoryRecord {
    /// Adds a version unless it is present; returns whether it was added.
    ///
    /// Drops the oldest versions beyond [`HISTORY_LEN_MAX`].
    pub fn add(&mut self, record: EntryRecord) -> bool {
        let version = record.version;
        let Err(position) = self
            .versions
            .binary_search_by_key(&version, |stored| stored.version)
        else {
            return false;
        };
        self.versions.insert(position, record);
        let excess = self.versions.len().saturating_sub(HISTORY_LEN_MAX);
        self.versions.drain(..excess);
        true
    }

    /// Returns the record of a version, or `None` if the history doesn't contain it.
    #[must_use]
    pub fn get(&self, version: u64) -> Option<&EntryRecord> {
        self.versions
            .iter()
            .find(|stored| stored.version == version)
    }

    /// Returns the versions, oldest first.
    #[must_use]
    pub fn versions(&self) -> &[EntryRecord] {
        &self.versions
    }
}
