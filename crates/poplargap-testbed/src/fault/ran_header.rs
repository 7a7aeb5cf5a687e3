//! Header by which an upstream reports that it refused a request without executing it.

use {
    serde_json::json,
    warp::{
        http::StatusCode,
        reply::{Reply, Response},
    },
};

/// Value of [`RAN_HEADER`] for a request that was not executed.
pub const NOT_RUN: &str = "not-run";

/// Name of the header that reports whether a refused request was executed.
pub const RAN_HEADER: &str = "x-poplargap-ran";

/// Builds the refusal of a request that was not executed, with `reason` as its error message.
#[must_use]
pub fn not_run_reply(status: StatusCode, reason: &str) -> Response {
    let body = warp::reply::json(&json!({"error": {"message": reason}}));
    let reply = warp::reply::with_header(body, RAN_HEADER, NOT_RUN);
    warp::reply::with_status(reply, status).into_response()
}
