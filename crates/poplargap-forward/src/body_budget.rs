//! Bound on the memory of all bodies that are buffered at a time.

use {
    bytes::Bytes,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Most bytes that all buffered bodies may hold together.
const BODIES_BYTES_MAX: usize = 32 * 1024 * 1024;

/// The memory that buffered bodies hold, in bytes.
#[derive(Debug, Default)]
pub(crate) struct BodyBudget {
    held: AtomicUsize,
}

impl BodyBudget {
    /// Returns an empty lease.
    pub(crate) fn lease(self: &Arc<Self>) -> BodyLease {
        BodyLease {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// The part of the budget that one body holds, until it is dropped.
#[derive(Debug)]
pub(crate) struct BodyLease {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyLease {
    /// Grows the lease to `bytes`; returns `false` if the budget has no room for them.
    #[must_use]
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let before = self.budget.held.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
        before + more <= BODIES_BYTES_MAX
    }

    /// Keeps the lease for as long as `bytes` or a clone of them exists.
    pub(crate) fn keep_for(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(LeasedBody {
            bytes,
            _lease: self,
        })
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body with its lease.
#[derive(Debug)]
struct LeasedBody {
    bytes: Bytes,
    _lease: BodyLease,
}

impl AsRef<[u8]> for LeasedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
