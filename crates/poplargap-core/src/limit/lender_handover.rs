//! What a closing lender tells its successor.

use {
    super::{LoanHolder, known_from::MovedKnownFrom, loan_record::MovedRecord},
    crate::name::ClassName,
    serde::{Deserialize, Serialize},
};

/// The loans of a lender that has stopped lending.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LenderHandover {
    /// The class.
    pub class: ClassName,
    pub(super) records: Vec<(LoanHolder, MovedRecord)>,
    pub(super) unknown: MovedKnownFrom,
}
