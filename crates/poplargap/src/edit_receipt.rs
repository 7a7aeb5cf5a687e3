//! Outcome of one edit.

use {
    crate::{EntryEdit, EntryVersion},
    poplargap_core::catalogue::EntryRef,
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// Outcome of one edit that didn't fail.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum EditReceipt {
    /// The edit was written.
    Accepted {
        /// The entry.
        entry: EntryRef,
        /// The store's revision at which the edit was seen in force.
        revision: u64,
        /// The version that the edit made.
        #[serde(flatten)]
        version: EntryVersion,
    },
    /// The edit wasn't attempted because an earlier one didn't succeed.
    NotTried {
        /// The entry.
        entry: EntryRef,
    },
    /// The edit was written, and a later one has replaced it.
    Replaced {
        /// The version in force.
        current: EntryVersion,
        /// The entry.
        entry: EntryRef,
        /// The version that the edit made.
        #[serde(flatten)]
        version: EntryVersion,
    },
    /// The entry already has this content.
    Unchanged {
        /// The entry.
        entry: EntryRef,
        /// The version in force.
        #[serde(flatten)]
        version: EntryVersion,
    },
}

impl EditReceipt {
    pub(crate) fn accepted(edit: &EntryEdit, revision: u64) -> Self {
        Self::Accepted {
            entry: edit.entry.clone(),
            revision,
            version: EntryVersion::from(&edit.record()),
        }
    }

    pub(crate) fn replaced(edit: &EntryEdit, current: EntryVersion) -> Self {
        Self::Replaced {
            current,
            entry: edit.entry.clone(),
            version: EntryVersion::from(&edit.record()),
        }
    }
}

impl Display for EditReceipt {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted {
                entry,
                revision,
                version,
            } => write!(f, "accepted `{entry}` as {version} at revision {revision}"),
            Self::NotTried { entry } => write!(f, "not tried `{entry}`"),
            Self::Replaced {
                current,
                entry,
                version,
            } => write!(
                f,
                "accepted `{entry}` as {version}, since replaced by {current}"
            ),
            Self::Unchanged { entry, version } => write!(f, "unchanged `{entry}` at {version}"),
        }
    }
}
