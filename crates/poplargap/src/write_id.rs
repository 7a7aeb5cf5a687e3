//! Ids of writes.

use std::fmt::{self, Display, Formatter};

/// Id of one write, unique over all writes of all operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WriteId(String);

impl WriteId {
    /// Creates a random id of 128 bits.
    #[must_use]
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::random::<u128>()))
    }

    /// Returns the id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for WriteId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<String> for WriteId {
    fn from(id: String) -> Self {
        Self(id)
    }
}
