//! Handle by which a request handler can disturb the connection of its request.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Fault flags of one connection, shared by its stream and the handlers of its requests.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHandle(Arc<ConnectionFlags>);

#[derive(Debug, Default)]
struct ConnectionFlags {
    cut: AtomicBool,
    silent: AtomicBool,
}

impl ConnectionHandle {
    /// Makes the next read or write of the connection fail.
    pub fn cut(&self) {
        self.0.cut.store(true, Ordering::Release);
    }

    /// Returns whether [`Self::cut`] has been called.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.0.cut.load(Ordering::Acquire)
    }

    /// Returns whether both handles belong to the same connection.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Returns whether [`Self::silence`] has been called.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.0.silent.load(Ordering::Acquire)
    }

    /// Returns whether this is the connection's only handle, so that its stream has been closed.
    #[must_use]
    pub fn is_unshared(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }

    /// Permanently stops all data of the connection in both directions.
    pub fn silence(&self) {
        self.0.silent.store(true, Ordering::Release);
    }
}
