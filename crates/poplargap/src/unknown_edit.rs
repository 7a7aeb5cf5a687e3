//! An edit with an unknown outcome.

use {
    poplargap_core::catalogue::EntryRef,
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// An edit that may have taken effect, or may still do so.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct UnknownEdit {
    /// The entry.
    pub entry: EntryRef,
    /// Why the outcome isn't known.
    pub reason: String,
    /// Number of the version that the edit makes.
    pub version: u64,
    /// Id of the edit's write.
    pub write_id: String,
}

impl Display for UnknownEdit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            entry,
            reason,
            version,
            write_id,
        } = self;
        write!(
            f,
            "it isn't known whether version {version} (write {write_id}) of `{entry}` took effect, \
             and it may still do so: {reason}; `poplargap history {entry}` shows it once it has"
        )
    }
}
