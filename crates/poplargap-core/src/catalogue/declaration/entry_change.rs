//! Differences between two sets of entries.

use {
    super::entry_values::{EntryValue, entry_values},
    crate::catalogue::{CatalogueEntry, EntryRef, EntrySet},
    serde::Serialize,
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
    },
};

/// Key whose value is hidden in the output.
const HIDDEN_KEY: &str = "key-sha256";

/// Change of the value of one key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyChange {
    /// The value after the change; `None` if the key was removed.
    pub after: Option<String>,
    /// The value before the change; `None` if the key was added.
    pub before: Option<String>,
    /// Name of the key.
    pub key: &'static str,
}

impl Display for KeyChange {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let before = self.before.as_deref().unwrap_or("(absent)");
        let after = self.after.as_deref().unwrap_or("(absent)");
        write!(f, "{}: {before} -> {after}", self.key)
    }
}

/// Difference of one entry between two sets.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryChange {
    /// Only the later set contains the entry.
    Added(CatalogueEntry),
    /// Both sets contain the entry, with different contents.
    Changed {
        /// The entry after the change.
        after: CatalogueEntry,
        /// The entry before the change.
        before: CatalogueEntry,
    },
    /// Only the earlier set contains the entry.
    Removed(CatalogueEntry),
}

impl EntryChange {
    /// Returns the entry's kind and name.
    #[must_use]
    pub fn entry_ref(&self) -> EntryRef {
        match self {
            Self::Added(entry) | Self::Removed(entry) => entry.entry_ref(),
            Self::Changed { after, .. } => after.entry_ref(),
        }
    }

    /// Returns the changed keys, sorted; digests are replaced by `(hidden)`.
    #[must_use]
    pub fn keys(&self) -> Vec<KeyChange> {
        let (before, after) = match self {
            Self::Added(after) => (Vec::new(), entry_values(after)),
            Self::Changed { after, before } => (entry_values(before), entry_values(after)),
            Self::Removed(before) => (entry_values(before), Vec::new()),
        };
        let keys: BTreeSet<_> = before.iter().chain(&after).map(|value| value.key).collect();
        keys.into_iter()
            .map(|key| (key, text_of(&before, key), text_of(&after, key)))
            .filter(|(_, before, after)| before != after)
            .map(|(key, before, after)| KeyChange {
                after: displayed_text(key, after),
                before: displayed_text(key, before),
                key,
            })
            .collect()
    }
}

/// Returns the changes that lead from `before` to `after`, sorted by kind and name.
#[must_use]
pub fn diff(before: &EntrySet, after: &EntrySet) -> Vec<EntryChange> {
    let entries: BTreeSet<&EntryRef> = before.iter().chain(after).map(|(entry, _)| entry).collect();
    entries
        .into_iter()
        .filter_map(|entry| match (before.get(entry), after.get(entry)) {
            (None, Some(after)) => Some(EntryChange::Added(after.clone())),
            (Some(before), None) => Some(EntryChange::Removed(before.clone())),
            (Some(before), Some(after)) if before != after => Some(EntryChange::Changed {
                after: after.clone(),
                before: before.clone(),
            }),
            _ => None,
        })
        .collect()
}

fn displayed_text(key: &str, text: Option<&str>) -> Option<String> {
    let text = if key == HIDDEN_KEY {
        text.map(|_| "(hidden)")
    } else {
        text
    };
    text.map(str::to_owned)
}

fn text_of<'a>(values: &'a [EntryValue], key: &str) -> Option<&'a str> {
    values
        .iter()
        .find(|value| value.key == key)
        .map(|value| value.text.as_str())
}
