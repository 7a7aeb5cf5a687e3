//! Settings of broken invariants.

use crate::input::SectionReader;

/// What a broken invariant does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvariantsSection {
    /// Whether a broken invariant ends the daemon.
    pub panic: bool,
}

impl InvariantsSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let panic = reader.yes_no("panic");
        Some(Self { panic: panic? })
    }
}
