//! Settings of operators' access.

use {super::OperatorToken, crate::input::SectionReader};

/// How operators prove who they are.
#[derive(Clone, Debug)]
pub struct OperatorsSection {
    /// The bearer token that operators show.
    pub token: OperatorToken,
}

impl OperatorsSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let token = reader.secret("token");
        Some(Self { token: token? })
    }
}
