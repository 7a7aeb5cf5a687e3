//! Refusal of an item by the queue.

use {
    super::WorkItem,
    std::fmt::{self, Debug, Display, Formatter},
    strum::{Display as StrumDisplay, IntoStaticStr},
};

/// Why the queue refused an item.
#[derive(Clone, Copy, Debug, Eq, Hash, IntoStaticStr, PartialEq, StrumDisplay)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The item is not expected to start by its latest start.
    DeadlineTooNear,
    /// An item with the same request id is already waiting.
    DuplicateRequest,
    /// The queue is full and the item's workspace uses its fair share of it.
    QueueFull,
}

/// An item that was refused; it certainly didn't run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueRefusal<T> {
    /// The refused item.
    pub item: WorkItem<T>,
    /// Why the item was refused.
    pub reason: RefusalReason,
}

impl<T> Display for QueueRefusal<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { item, reason } = self;
        write!(f, "the request `{}` was not queued: {reason}", item.id)
    }
}

impl<T: Debug> std::error::Error for QueueRefusal<T> {}
