//! Joint renewal of all loans between one holder and one lending daemon.

use {
    super::LoanHolder,
    crate::name::ClassName,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Identifies the state of a loan at its holder and at its lender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanStamp {
    /// The class whose limits are lent.
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

/// Requests the renewal of all of the holder's loans from one daemon that have no backed part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RenewalRequest {
    /// Digest of the holder's loans.
    pub digest: LoanDigest,
    /// The holder that sends the request.
    pub holder: LoanHolder,
    /// Number of the renewal, increasing; the reply repeats it.
    pub sequence: u64,
}

/// Answers a [`RenewalRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RenewalReply {
    /// The lender's decision.
    pub outcome: RenewalOutcome,
    /// Number of the answered renewal.
    pub sequence: u64,
}

/// Decision of a lender about a joint renewal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum RenewalOutcome {
    /// The lender's digest differs; each loan needs a request of its own.
    Differs,
    /// All loans are renewed.
    Renewed {
        /// Renewed classes whose share is scarce: the holder must return what it doesn't use.
        scarce: Vec<ClassName>,
    },
}
