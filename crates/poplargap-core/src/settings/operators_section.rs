//! Settings of the `operators` section: authentication of operators.

use {super::OperatorToken, crate::input::SectionReader};

/// Authentication of operators.
#[derive(Clone, Debug)]
pub struct OperatorsSection {
    /// Bearer token that operators send.
    pub token: OperatorToken,
}

impl OperatorsSection {
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Option<Self> {
        let token = reader.secret("token");
        Some(Self { token: token? })
    }
}
