//! Items of the waiting queue.

use {
    crate::{
        catalogue::PriorityClass,
        instant::MonotonicInstant,
        name::{RequestId, WorkspaceName},
    },
    std::num::NonZeroU32,
};

/// Expected work that an item causes at an upstream; all items of a queue use the same unit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkCost(NonZeroU32);

impl WorkCost {
    /// The cost of one unit.
    pub const ONE: Self = Self(NonZeroU32::MIN);

    /// Creates a cost; zero is raised to one, so that no item is free.
    #[must_use]
    pub fn new(units: u32) -> Self {
        Self(NonZeroU32::new(units).unwrap_or(NonZeroU32::MIN))
    }

    /// Returns the cost in units.
    #[must_use]
    pub fn units(self) -> u64 {
        u64::from(self.0.get())
    }
}

/// A waiting request with the properties that determine its order in the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkItem<T> {
    /// When the request arrived, by the clock of the queue's process.
    pub arrived: MonotonicInstant,
    /// Expected cost at the upstream.
    pub cost: WorkCost,
    /// The request's id; unique in the queue.
    pub id: RequestId,
    /// Deadline minus the expected service time.
    pub latest_start: MonotonicInstant,
    /// Data for the queue's user, returned with the item.
    pub payload: T,
    /// Priority class at arrival; ageing doesn't change it.
    pub priority: PriorityClass,
    /// The caller's workspace.
    pub workspace: WorkspaceName,
}
