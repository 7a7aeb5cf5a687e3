//! Conflict of an edit with another writer's version.

use {
    crate::{EntryEdit, EntryVersion},
    poplargap_core::catalogue::EntryRef,
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// An edit whose base is no longer in force; it had no effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EditConflict {
    /// The version that the edit is based on.
    pub base: EntryVersion,
    /// The version in force.
    pub current: EntryVersion,
    /// The entry.
    pub entry: EntryRef,
    /// Id of the edit's write.
    pub write_id: String,
}

impl EditConflict {
    /// Describes the conflict of an edit with the version in force.
    #[must_use]
    pub fn new(edit: &EntryEdit, current: EntryVersion) -> Self {
        Self {
            base: edit.base.clone(),
            current,
            entry: edit.entry.clone(),
            write_id: edit.write_id.as_str().to_owned(),
        }
    }
}

impl Display for EditConflict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            base,
            current,
            entry,
            write_id,
        } = self;
        write!(
            f,
            "`{entry}` is at {current}; the edit {write_id} is based on {base}"
        )
    }
}
