//! Kinds of catalogue entries and references to single entries.

use {
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Formatter},
        str::FromStr,
    },
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
    /// A class of requests, owned by one workspace.
    Class,
    /// A data centre.
    DataCentre,
    /// A pool of interchangeable upstreams.
    Pool,
    /// An upstream of a pool.
    Upstream,
    /// A workspace.
    Workspace,
}

/// Reference to an entry by kind and name, written `kind name`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryRef {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Name of the entry, unique within its kind.
    pub name: String,
}

impl fmt::Display for EntryRef {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// Error of parsing an [`EntryRef`].
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum EntryRefError {
    /// `{text}` is no kind and name of an entry
    Malformed {
        /// The rejected text.
        text: String,
    },
}

impl std::error::Error for EntryRefError {}

impl FromStr for EntryRef {
    type Err = EntryRefError;

    fn from_str(text: &str) -> Result<Self, EntryRefError> {
        let malformed = || EntryRefError::Malformed {
            text: text.to_owned(),
        };
        let (kind, name) = text.split_once(' ').ok_or_else(malformed)?;
        let Ok(kind) = kind.parse() else {
            return Err(malformed());
        };
        let name = name.to_owned();
        Ok(Self { kind, name })
    }
}
