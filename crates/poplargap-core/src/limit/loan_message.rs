//! What borrowers and lenders of limits say to each other.

use {
    super::Allowance,
    crate::name::{ClassName, DaemonName, DataCentre},
    serde::{Deserialize, Serialize},
};

/// Who holds a loan; a restarted process is another holder.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoanHolder {
    /// The data centre for whose daemons a lender borrows; absent when the daemon admits requests.
    pub centre: Option<DataCentre>,
    /// The daemon.
    pub daemon: DaemonName,
    /// Number of the daemon's process, different after each start.
    pub incarnation: u64,
}

/// The size of a loan.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoanAmount {
    /// Part that the lender itself has borrowed from another data centre; it may end earlier.
    pub backed: Allowance,
    /// Part that belongs to the lender's own share.
    pub own: Allowance,
}

impl LoanAmount {
    /// Returns both parts together.
    #[must_use]
    pub fn total(&self) -> Allowance {
        self.own.plus(self.backed)
    }

    /// Returns the amount cut down to `most`; the backed part is cut first.
    #[must_use]
    pub fn at_most(&self, most: Allowance) -> Self {
        let own = self.own.min(most);
        let backed = self.backed.min(most.minus(own));
        Self { backed, own }
    }
}

/// Asks to have a loan of a size; also renews, lowers and returns it.
///
/// All amounts are absolute, so that a lost or repeated message does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoanRequest {
    /// The class.
    pub class: ClassName,
    /// What the holder has lent on or used of its loans; counted, but no right to use it again.
    pub committed: Allowance,
    /// Who asks.
    pub holder: LoanHolder,
    /// What the holder keeps if it gets no reply; it ignores replies to earlier requests.
    pub holding: LoanAmount,
    /// The least with which the holder can admit what it has at hand.
    pub need: Allowance,
    /// Number of the request, rising for each holder and class.
    pub sequence: u64,
    /// Requests in flight, and requests and tokens used in the windows that end now.
    pub used: Allowance,
    /// The size that is asked for.
    pub want: Allowance,
}

/// What a lender decided.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum LoanOutcome {
    /// The holder has a loan of this size.
    Granted {
        /// The size.
        amount: LoanAmount,
        /// Time after which to ask again when the size is too small, in milliseconds.
        ask_again_ms: u32,
        /// Time for which the backed part may be used, from before the request was sent.
        backed_for_ms: u32,
        /// Whether others lack what the holder doesn't use.
        scarce: bool,
    },
    /// The daemon isn't the class's lender, or the request is older than one it has answered.
    Refused,
}

/// Answers a [`LoanRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoanReply {
    /// The class.
    pub class: ClassName,
    /// What was decided.
    pub outcome: LoanOutcome,
    /// Number of the request.
    pub sequence: u64,
}
