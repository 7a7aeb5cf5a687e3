//! Reads whole message bodies within the memory that all of them may hold.

use {
    crate::body_budget::BodyBudget,
    bytes::{Bytes, BytesMut},
    displaydoc::Display,
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{error::Error, sync::Arc},
    tokio::time::{Instant, timeout_at},
};

/// Why a body couldn't be read to its end.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// the body ended early: {0}
    Broken(hyper::Error),
    /// all bodies together hold too much memory
    NoRoom,
    /// the body is too long
    TooLong,
    /// the body didn't arrive in time
    TooSlow,
}

impl Error for BodyError {}

/// Reads a body of up to `bytes_max` bytes until `end`; its memory counts in `budget` until it is
/// dropped.
pub(crate) async fn read_body(
    body: Incoming,
    bytes_max: usize,
    end: Instant,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let read = collect(body, bytes_max, budget);
    timeout_at(end, read)
        .await
        .unwrap_or(Err(BodyError::TooSlow))
}

/// Copies the pieces of a body: a piece that is kept holds the whole buffer into which it was read.
async fn collect(
    mut body: Incoming,
    bytes_max: usize,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes, BodyError> {
    let mut lease = budget.lease();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame.map_err(BodyError::Broken)?.into_data() else {
            continue;
        };
        if bytes.len() + piece.len() > bytes_max {
            return Err(BodyError::TooLong);
        }
        bytes.extend_from_slice(&piece);
        if !lease.resize(bytes.capacity()) {
            return Err(BodyError::NoRoom);
        }
    }
    Ok(lease.keep_for(bytes.freeze()))
}
