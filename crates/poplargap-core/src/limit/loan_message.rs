//! Messages between borrowers and lenders of limits.

use {
    super::Allowance,
    crate::name::{ClassName, DaemonName, DataCentre},
    serde::{Deserialize, Serialize},
};

/// Holder of a loan; a restarted process is a different holder.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoanHolder {
    /// Data centre for which a lender borrows; absent for a daemon that borrows to admit requests.
    pub centre: Option<DataCentre>,
    /// The borrowing daemon.
    pub daemon: DaemonName,
    /// Number of the daemon's process, different after each restart.
    pub incarnation: u64,
}

/// Size of a loan.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoanAmount {
    /// Part that the lender itself borrowed from another data centre; it may expire earlier.
    pub backed: Allowance,
    /// Part that comes from the lender's own share.
    pub own: Allowance,
}

impl LoanAmount {
    /// Returns the sum of both parts.
    #[must_use]
    pub fn total(&self) -> Allowance {
        self.own.plus(self.backed)
    }

    /// Returns the amount limited to `most`; the backed part is reduced first.
    #[must_use]
    pub fn at_most(&self, most: Allowance) -> Self {
        let own = self.own.min(most);
        let backed = self.backed.min(most.minus(own));
        Self { backed, own }
    }
}

/// Requests a loan of a given size; the same message renews, reduces and returns it.
///
/// All amounts are absolute, so that lost and repeated messages are harmless.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoanRequest {
    /// The class whose limits are lent.
    pub class: ClassName,
    /// What the holder has lent on or used of its loans; counted, but not granted again.
    pub committed: Allowance,
    /// The holder that sends the request.
    pub holder: LoanHolder,
    /// Loan that the holder keeps without a reply; it ignores replies to earlier requests.
    pub holding: LoanAmount,
    /// Least amount with which the holder can admit its waiting request.
    pub need: Allowance,
    /// Number of the request, increasing for each holder and class.
    pub sequence: u64,
    /// Requests in flight, and requests and tokens used in the current windows.
    pub used: Allowance,
    /// Requested size of the loan.
    pub want: Allowance,
}

/// Decision of a lender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum LoanOutcome {
    /// The holder gets a loan of this size.
    Granted {
        /// Size of the loan.
        amount: LoanAmount,
        /// Time after which to retry if the size is too small, in milliseconds.
        ask_again_ms: u32,
        /// Time for which the backed part may be used, in milliseconds from before the request was
        /// sent.
        backed_for_ms: u32,
        /// Whether the share is scarce, so that the holder must return what it doesn't use.
        scarce: bool,
    },
    /// The daemon isn't the class's lender, or has answered a later request.
    Refused,
}

/// Answers a [`LoanRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoanReply {
    /// The class whose limits are lent.
    pub class: ClassName,
    /// The lender's decision.
    pub outcome: LoanOutcome,
    /// Number of the answered request.
    pub sequence: u64,
}
