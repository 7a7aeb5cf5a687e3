//! Settings of the `invariants` section: the reaction to broken invariants.

use crate::input::SectionReader;

/// Reaction to broken invariants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvariantsSection {
    /// Whether a broken invariant terminates the daemon.
    pub panic: bool,
}

impl InvariantsSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let panic = reader.yes_no("panic");
        Some(Self { panic: panic? })
    }
}
