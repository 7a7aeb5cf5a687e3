//! State that a closing lender passes to its successor.

use {
    super::{LoanHolder, complete_from::HandoverCompleteFrom, loan_record::HandoverRecord},
    crate::name::ClassName,
    serde::{Deserialize, Serialize},
};

/// Loans of a lender that has stopped lending, with times relative to the handover.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LenderHandover {
    /// The class whose limits were lent.
    pub class: ClassName,
    pub(super) records: Vec<(LoanHolder, HandoverRecord)>,
    pub(super) unknown: HandoverCompleteFrom,
}
