//! Reads request bodies up to a maximum length.

use {
    bytes::{Buf, Bytes, BytesMut},
    futures::{Stream, StreamExt},
    std::pin::pin,
};

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// The body ended early.
    Broken,
    /// The body is longer than its maximum length.
    TooLarge,
}

/// Most bytes beyond the maximum length that are read and discarded.
///
/// Closing a connection with unread bytes may discard an answer that the sender hasn't read yet.
pub(crate) const DISCARD_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// Reads a body of at most `max` bytes, whether or not its length was declared.
///
/// A longer body is read and discarded, up to [`DISCARD_BYTES_MAX`] beyond `max`, so that its
/// sender gets the answer.
pub(crate) async fn collect<B, D, E>(body: B, max: u64) -> Result<Bytes, BodyError>
where
    B: Stream<Item = Result<D, E>>,
    D: Buf,
{
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    let mut len: u64 = 0;
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_source| BodyError::Broken)?;
        len = len.saturating_add(chunk.remaining() as u64);
        if len > max.saturating_add(DISCARD_BYTES_MAX) {
            return Err(BodyError::TooLarge);
        }
        if len > max {
            bytes = BytesMut::new();
            continue;
        }
        while chunk.has_remaining() {
            let part = chunk.chunk().len();
            bytes.extend_from_slice(chunk.chunk());
            chunk.advance(part);
        }
    }
    if len > max {
        return Err(BodyError::TooLarge);
    }
    Ok(bytes.freeze())
}
