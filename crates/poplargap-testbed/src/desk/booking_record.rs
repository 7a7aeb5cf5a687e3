//! The record of all that ran on a desk.

use serde::{Deserialize, Serialize};

/// One call that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BookingRecord {
    /// Number of the call, from 1.
    pub booking: u64,
    /// Key of the call, when it carried one.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Name of the request, when it carried one.
    pub request_id: Option<String>,
    /// Time since the desk's start, in milliseconds.
    pub time_ms: u64,
}

/// Answer to one call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BookingAnswer {
    /// Number of the call, from 1.
    pub booking: u64,
    /// Path with query.
    pub path: String,
    /// Name of the request, when it carried one.
    pub request_id: Option<String>,
}

/// All that ran on one desk.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeskLedger {
    /// Most calls in flight ever.
    pub peak: usize,
    /// Calls in their order of start.
    pub runs: Vec<BookingRecord>,
}

/// Load of a desk.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeskLoad {
    /// Most calls in flight ever.
    pub peak: usize,
    /// Calls in flight.
    pub running: usize,
    /// Calls that wait, always 0.
    pub waiting: usize,
}
