//! HTTP answers of the stand-in's routes.

use {
    super::store_state::SwapAnswer,
    poplargap_platform::store_wire::{ConflictBody, ItemBody, RevisionBody},
    poplargap_store::{VmEntry, VmQuery},
    serde::Serialize,
    warp::{
        Reply,
        http::{StatusCode, header::ETAG},
        reply::{Response, json, with_header, with_status},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Answers with JSON, or with 503 when the store's task has ended.
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

/// Answers with a part of the VM list, or with 304 when its entity tag equals `known_tag`.
pub(super) fn vm_answer(
    vms: Option<&[VmEntry]>,
    query: &VmQuery,
    known_tag: Option<&str>,
) -> Response {
    let Some(vms) = vms else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let selected = query.select(vms);
    let tag = serde_json::to_vec(&selected).map(|text| format!("\"{:016x}\"", xxh3_64(&text)));
    let Ok(tag) = tag else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    if known_tag == Some(tag.as_str()) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    with_header(json(&selected), ETAG, tag).into_response()
}

pub(super) fn swap_answer(swapped: Option<SwapAnswer>) -> Response {
    match swapped {
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Some(SwapAnswer::Applied(revision)) => {
            let revision = revision.number();
            json(&RevisionBody { revision }).into_response()
        }
        Some(SwapAnswer::Conflict(current)) => {
            let entries = current.iter().map(ItemBody::from).collect();
            let body = json(&ConflictBody { entries });
            with_status(body, StatusCode::PRECONDITION_FAILED).into_response()
        }
        Some(SwapAnswer::Malformed) => StatusCode::BAD_REQUEST.into_response(),
        Some(SwapAnswer::NoLease) => StatusCode::NOT_FOUND.into_response(),
        Some(SwapAnswer::TooLong) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
    }
}
