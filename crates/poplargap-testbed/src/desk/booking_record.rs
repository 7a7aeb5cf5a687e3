//! Records of the calls that a desk executed, and its load.

use serde::{Deserialize, Serialize};

/// One executed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BookingRecord {
    /// Sequence number of the call on this desk, starting at 1.
    pub booking: u64,
    /// Value of the header `idempotency-key`, if present.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Request path with its query string.
    pub path: String,
    /// Value of the header `x-request-id`, if present.
    pub request_id: Option<String>,
    /// Start of the call, in milliseconds since the start of the desk.
    pub time_ms: u64,
}

/// JSON body of the answer to one call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BookingAnswer {
    /// Sequence number of the call on this desk, starting at 1.
    pub booking: u64,
    /// Request path with its query string.
    pub path: String,
    /// Value of the header `x-request-id`, if present.
    pub request_id: Option<String>,
}

/// All calls that one desk executed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeskLedger {
    /// Highest number of calls in flight since the start of the desk.
    pub peak: usize,
    /// Executed calls, ordered by start.
    pub runs: Vec<BookingRecord>,
}

/// Current load of a desk, in calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeskLoad {
    /// Highest number of calls in flight since the start of the desk.
    pub peak: usize,
    /// Calls in flight.
    pub running: usize,
    /// Queued calls; always 0, since a desk has no queue.
    pub waiting: usize,
}
