//! Counts claims whose outcome isn't in the store yet.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Number of claims whose outcome isn't in the store yet; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingWrites(Arc<AtomicUsize>);

/// Counts one claim until it is dropped.
#[derive(Debug)]
pub(super) struct PendingWrite(Arc<AtomicUsize>);

impl PendingWrites {
    /// Counts one more claim.
    pub(super) fn add(&self) -> PendingWrite {
        self.0.fetch_add(1, Ordering::Relaxed);
        PendingWrite(Arc::clone(&self.0))
    }

    /// Returns the number of claims.
    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for PendingWrite {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
