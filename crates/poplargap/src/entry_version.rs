//! Versions of entries.

use {
    poplargap_core::catalogue::EntryRecord,
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// A version of an entry and the write that made it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EntryVersion {
    /// The version's number; 0 for an entry that has never existed.
    pub version: u64,
    /// Id of the write that made the version; empty for an entry that has never existed.
    pub write_id: String,
}

impl Display for EntryVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.version {
            0 => f.write_str("version 0 (absent)"),
            version => write!(f, "version {version} (write {})", self.write_id),
        }
    }
}

impl From<&EntryRecord> for EntryVersion {
    fn from(record: &EntryRecord) -> Self {
        Self {
            version: record.version,
            write_id: record.write_id.clone(),
        }
    }
}

impl From<Option<&EntryRecord>> for EntryVersion {
    fn from(record: Option<&EntryRecord>) -> Self {
        record.map(Self::from).unwrap_or_default()
    }
}
