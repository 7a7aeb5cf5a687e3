//! Conflicts found before the first write.

use {
    crate::EditConflict,
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// All conflicts of a command that wrote nothing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct StaleVersions(pub(crate) Vec<EditConflict>);

impl Display for StaleVersions {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for conflict in &self.0 {
            writeln!(f, "{conflict}")?;
        }
        f.write_str("nothing was written")
    }
}
