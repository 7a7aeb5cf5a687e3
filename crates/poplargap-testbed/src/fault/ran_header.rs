//! The header by which an upstream says that a refused request did not run.

use {
    serde_json::json,
    warp::{
        http::StatusCode,
        reply::{Reply, Response},
    },
};

/// Value of [`RAN_HEADER`] when nothing ran.
pub const NOT_RUN: &str = "not-run";

/// Name of the header that says whether a refused request ran.
pub const RAN_HEADER: &str = "x-poplargap-ran";

/// Builds the refusal of a request that did not run.
#[must_use]
pub fn not_run_reply(status: StatusCode, reason: &str) -> Response {
    let body = warp::reply::json(&json!({"error": {"message": reason}}));
    let reply = warp::reply::with_header(body, RAN_HEADER, NOT_RUN);
    warp::reply::with_status(reply, status).into_response()
}
