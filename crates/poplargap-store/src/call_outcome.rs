//! Outcomes of calls to the platform, as the metrics distinguish them.

use {
    crate::{StoreError, SwapOutcome},
    strum::{EnumIter, IntoStaticStr},
};

/// Outcome of a call to the platform; also its label in metrics.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum CallOutcome {
    /// The caller stopped waiting.
    Abandoned,
    /// The call was answered.
    Answered,
    /// The start revision of the watch was compacted.
    Compacted,
    /// The key had another revision than the swap expected.
    Conflict,
    /// The answer is of another era of the store than the call was based on.
    EraChanged,
    /// The answer couldn't be decoded.
    Malformed,
    /// The request may have been sent, but no answer was received.
    NoAnswer,
    /// The lease is unknown or has ended.
    NoLease,
    /// The request wasn't sent.
    NotSent,
    /// The platform refused the call.
    Refused,
}

impl From<&StoreError> for CallOutcome {
    fn from(error: &StoreError) -> Self {
        match error {
            StoreError::Compacted(_) => Self::Compacted,
            StoreError::EraChanged { .. } => Self::EraChanged,
            StoreError::Malformed(_) => Self::Malformed,
            StoreError::NoAnswer(_) => Self::NoAnswer,
            StoreError::NoLease => Self::NoLease,
            StoreError::NotSent(_) => Self::NotSent,
            StoreError::Refused(_) => Self::Refused,
            StoreError::Superseded => Self::Conflict,
        }
    }
}

impl From<&SwapOutcome> for CallOutcome {
    fn from(outcome: &SwapOutcome) -> Self {
        match outcome {
            SwapOutcome::Applied(_) => Self::Answered,
            SwapOutcome::Conflict(_) => Self::Conflict,
            SwapOutcome::Failed(error) | SwapOutcome::Unknown(error) => Self::from(error),
        }
    }
}

impl<T> From<&Result<T, StoreError>> for CallOutcome {
    fn from(result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) => Self::Answered,
            Err(error) => Self::from(error),
        }
    }
}
