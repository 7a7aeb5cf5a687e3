//! What a request handler may do to the connection that carries its request.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Handle to one connection, shared by its stream and the handlers of its requests.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHandle(Arc<ConnectionFlags>);

#[derive(Debug, Default)]
struct ConnectionFlags {
    cut: AtomicBool,
    silent: AtomicBool,
}

impl ConnectionHandle {
    /// Cuts the connection at the next write.
    pub fn cut(&self) {
        self.0.cut.store(true, Ordering::Release);
    }

    /// Returns whether the connection is to be cut.
    #[must_use]
    pub fn is_cut(&self) -> bool {
        self.0.cut.load(Ordering::Acquire)
    }

    /// Returns whether both handles stand for the same connection.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Returns whether the connection is silent.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.0.silent.load(Ordering::Acquire)
    }

    /// Returns whether only this handle is left.
    #[must_use]
    pub fn is_unshared(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }

    /// Stops all bytes of the connection in both directions, for good.
    pub fn silence(&self) {
        self.0.silent.store(true, Ordering::Release);
    }
}
