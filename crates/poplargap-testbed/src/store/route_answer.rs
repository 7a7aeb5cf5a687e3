//! Answers of the stand-in's routes.

use {
    super::store_state::SwapAnswer,
    poplargap_platform::wire::SwapReceipt,
    serde::Serialize,
    warp::{
        Reply,
        http::StatusCode,
        reply::{Response, json, with_status},
    },
};

/// Answers with JSON, or 503 when the store is gone.
pub(super) fn answer<T: Serialize>(answer: Option<T>) -> Response {
    match answer {
        Some(answer) => json(&answer).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

pub(super) fn lease_answer(held: Option<bool>) -> Response {
    match held {
        Some(false) => StatusCode::NOT_FOUND.into_response(),
        held => answer(held.map(|_| ())),
    }
}

pub(super) fn swap_answer(swapped: Option<SwapAnswer>) -> Response {
    match swapped {
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Some(SwapAnswer::Applied(revision)) => json(&SwapReceipt { revision }).into_response(),
        Some(SwapAnswer::Conflict(current)) => {
            with_status(json(&current), StatusCode::CONFLICT).into_response()
        }
        Some(SwapAnswer::NoLease) => StatusCode::NOT_FOUND.into_response(),
        Some(SwapAnswer::TooLong) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
    }
}
