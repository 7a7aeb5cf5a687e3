//! Bound on the load of an upstream, relative to the mean load of its pool.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// Error of creating a [`LoadMultiple`].
#[derive(Clone, Debug, Display, PartialEq)]
pub enum MultipleError {
    /// the multiple `{multiple}` is out of range; it lies between 1 and 100
    OutOfRange {
        /// The rejected number.
        multiple: f64,
    },
}

impl std::error::Error for MultipleError {}

/// Largest load of an upstream as a multiple of its pool's mean load, from 1 to 100.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(into = "f64", try_from = "f64")]
pub struct LoadMultiple(f64);

impl LoadMultiple {
    /// Returns the largest number of requests on one upstream of a pool.
    ///
    /// The pool has `upstreams` upstreams and `load` requests, including the one to be placed.
    ///
    /// The bound is that of consistent hashing with bounded loads (Mirrokni, Thorup and
    /// Zadimoghaddam, 2018).
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
