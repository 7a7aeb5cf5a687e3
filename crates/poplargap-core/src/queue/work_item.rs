//! One piece of waiting work.

use {
    crate::{
        catalogue::PriorityClass,
        instant::MonotonicInstant,
        name::{RequestId, WorkspaceName},
    },
    std::num::NonZeroU32,
};

/// Expected share of an upstream's work that an item takes, in any one unit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkCost(NonZeroU32);

impl WorkCost {
    /// The cost of one unit.
    pub const ONE: Self = Self(NonZeroU32::MIN);

    /// Creates a cost; zero counts as one, so that no item is free.
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

/// One piece of waiting work with what its order in the queue depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkItem<T> {
    /// When the work arrived, by the clock of the queue's own process.
    pub arrived: MonotonicInstant,
    /// Expected cost.
    pub cost: WorkCost,
    /// The request's name; unique in the queue.
    pub id: RequestId,
    /// Deadline less the expected time of service.
    pub latest_start: MonotonicInstant,
    /// What the queue's owner needs to start the work.
    pub payload: T,
    /// Class at arrival.
    pub priority: PriorityClass,
    /// The workspace that the work belongs to.
    pub workspace: WorkspaceName,
}
