//! One planned call of a plain service.

use {std::time::Duration, strum::Display};

/// Kind of a call.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum DeskWork {
    /// A call that may not be repeated.
    Booking,
    /// A call that may be repeated.
    Lookup,
}

/// One planned call of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeskPlan {
    /// Time after the load's start.
    pub at: Duration,
    /// Number from which the daemon is chosen.
    pub daemon: usize,
    /// Number of the item that the call is about.
    pub item: u32,
    /// Name of the request; also the idempotency key of a booking.
    pub request_id: String,
    /// Kind of the call.
    pub work: DeskWork,
    /// Index of the workspace.
    pub workspace: usize,
}
