//! Work that the queue doesn't take.

use {
    super::WorkItem,
    std::fmt::{self, Debug, Display, Formatter},
    strum::{Display as StrumDisplay, IntoStaticStr},
};

/// Why the queue doesn't take an item.
#[derive(Clone, Copy, Debug, Eq, Hash, IntoStaticStr, PartialEq, StrumDisplay)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The expected wait ends after the item's latest start.
    DeadlineTooNear,
    /// An item of the same request id waits already.
    DuplicateRequest,
    /// The queue is full and the item's workspace holds its equal part.
    QueueFull,
}

/// An item that was not taken; it provably didn't run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueRefusal<T> {
    /// The item.
    pub item: WorkItem<T>,
    /// Why it was not taken.
    pub reason: RefusalReason,
}

impl<T> Display for QueueRefusal<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { item, reason } = self;
        write!(f, "the request `{}` was not queued: {reason}", item.id)
    }
}

impl<T: Debug> std::error::Error for QueueRefusal<T> {}
