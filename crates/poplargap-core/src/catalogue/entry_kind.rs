//! Kinds of catalogue entries and references to single entries.

use {
    serde::{Deserialize, Serialize},
    std::fmt::{self, Formatter},
    strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames},
};

/// Kind of a catalogue entry; also the first word of its section in a declaration.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EntryKind {
    /// A class of work of one workspace.
    Class,
    /// A data centre.
    DataCentre,
    /// A pool of interchangeable upstreams.
    Pool,
    /// One upstream.
    Upstream,
    /// A workspace.
    Workspace,
}

/// Kind and name of one entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryRef {
    /// The entry's kind.
    pub kind: EntryKind,
    /// The entry's name, unique among its kind.
    pub name: String,
}

impl fmt::Display for EntryRef {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}
