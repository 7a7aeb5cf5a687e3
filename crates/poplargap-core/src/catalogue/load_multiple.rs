//! The multiple of the mean load that an upstream may carry.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// A number that is no load multiple.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum MultipleError {
    /// the multiple `{multiple}` is out of range; it lies between 1 and 100
    OutOfRange {
        /// The number given.
        multiple: f64,
    },
}

impl std::error::Error for MultipleError {}

/// Multiple of the pool's mean load that no upstream may pass, from 1 to 100.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct LoadMultiple(f64);

impl LoadMultiple {
    /// Returns the most requests that one of `upstreams` may carry when the pool carries `load`.
    ///
    /// Consistent hashing with bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2018. `load`
    /// includes the request to be placed.
    #[must_use]
    pub fn bound(self, load: u64, upstreams: u64) -> u64 {
        if upstreams == 0 {
            return 0;
        }
        let mean = load as f64 / upstreams as f64;
        ((self.0 * mean).ceil() as u64).max(1)
    }
}

impl From<LoadMultiple> for f64 {
    fn from(multiple: LoadMultiple) -> Self {
        multiple.0
    }
}

impl TryFrom<f64> for LoadMultiple {
    type Error = MultipleError;

    fn try_from(multiple: f64) -> Result<Self, MultipleError> {
        if (1.0..=100.0).contains(&multiple) {
            Ok(Self(multiple))
        } else {
            Err(MultipleError::OutOfRange { multiple })
        }
    }
}
