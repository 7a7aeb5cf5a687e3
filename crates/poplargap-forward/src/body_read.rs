//! Reads whole message bodies.

use {
    bytes::Bytes,
    displaydoc::Display,
    http_body_util::{BodyExt, Limited},
    hyper::body::{Body, Incoming},
    std::error::Error,
    tokio::time::{Instant, timeout_at},
};

/// Why a body couldn't be read to its end.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// the body ended early: {0}
    Broken(hyper::Error),
    /// the body is too long
    TooLong,
    /// the body didn't arrive in time
    TooSlow,
}

impl Error for BodyError {}

/// Reads a body of up to `bytes_max` bytes until `end`.
pub(crate) async fn read_body(
    body: Incoming,
    bytes_max: usize,
    end: Instant,
) -> Result<Bytes, BodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, bytes_max);
    match timeout_at(end, limited.collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) => Err(match error.downcast() {
            Ok(error) => BodyError::Broken(*error),
            // The only other error is the one for the length limit.
            Err(_) => BodyError::TooLong,
        }),
        Err(_) => Err(BodyError::TooSlow),
    }
}
