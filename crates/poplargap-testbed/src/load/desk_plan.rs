//! One planned call of a service that isn't a model.

use {std::time::Duration, strum::Display};

/// Kind of a service call.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum DeskWork {
    /// A call that must not be repeated.
    Booking,
    /// A call that may be repeated.
    Lookup,
}

/// One planned call of a service that isn't a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeskPlan {
    /// Time after the load's start.
    pub at: Duration,
    /// Random number that selects the daemon, modulo the number of daemons.
    pub daemon: usize,
    /// Number of the item that the call is about.
    pub item: u32,
    /// ID of the request; also the idempotency key of a booking.
    pub request_id: String,
    /// Kind of the call.
    pub work: DeskWork,
    /// Index of the workspace in the load settings.
    pub workspace: usize,
}
