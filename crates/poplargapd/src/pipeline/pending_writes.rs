//! Number of claims whose outcome isn't written to the store yet.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Counts the claims whose outcome isn't written yet; clones share the count.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingWrites(Arc<AtomicUsize>);

/// Counts one claim until it is dropped.
#[derive(Debug)]
pub(super) struct PendingWrite(Arc<AtomicUsize>);

impl PendingWrites {
    /// Counts one more claim until the returned value is dropped.
    pub(super) fn add(&self) -> PendingWrite {
        self.0.fetch_add(1, Ordering::Relaxed);
        PendingWrite(Arc::clone(&self.0))
    }

    /// Returns the number of claims whose outcome isn't written yet.
    pub(super) fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for PendingWrite {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
