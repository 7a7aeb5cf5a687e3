//! Renewal of all loans between one holder and one lender daemon at once.

use {
    super::LoanHolder,
    crate::name::ClassName,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// A loan as its holder and its lender both know it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanStamp {
    /// The class.
    pub class: ClassName,
    /// Number of the last request for the loan.
    pub sequence: u64,
}

/// A digest of loans; equal digests mean equal loans.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoanDigest {
    count: u32,
    hash: u64,
}

impl FromIterator<LoanStamp> for LoanDigest {
    fn from_iter<I: IntoIterator<Item = LoanStamp>>(iter: I) -> Self {
        iter.into_iter()
            .fold(Self::default(), |digest, stamp| Self {
                count: digest.count + 1,
                hash: digest.hash
                    ^ xxh3_64_with_seed(stamp.class.as_str().as_bytes(), stamp.sequence),
            })
    }
}

/// Asks to renew all loans that the holder has of a lender daemon, without those lent on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RenewalRequest {
    /// The holder's loans.
    pub digest: LoanDigest,
    /// Who asks.
    pub holder: LoanHolder,
    /// Number of the renewal, rising; its reply carries it.
    pub sequence: u64,
}

/// Answers a [`RenewalRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RenewalReply {
    /// What was decided.
    pub outcome: RenewalOutcome,
    /// Number of the renewal.
    pub sequence: u64,
}

/// What a lender decided about a renewal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum RenewalOutcome {
    /// The lender counts other loans; each is renewed by a request of its own.
    Differs,
    /// All are renewed.
    Renewed {
        /// Classes among them of which others lack what the holder doesn't use.
        scarce: Vec<ClassName>,
    },
}
