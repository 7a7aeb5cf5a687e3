//! Bodies of requests, read up to a bound.

use {
    bytes::{Buf, Bytes, BytesMut},
    futures::{Stream, StreamExt},
    std::pin::pin,
};

/// A body that can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// The body broke off before its end.
    Broken,
    /// The body is longer than the bound.
    TooLarge,
}

/// Reads a body of at most `max` bytes, whether its length was declared or not.
pub(crate) async fn collect<B, D, E>(body: B, max: u64) -> Result<Bytes, BodyError>
where
    B: Stream<Item = Result<D, E>>,
    D: Buf,
{
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_source| BodyError::Broken)?;
        if bytes.len().saturating_add(chunk.remaining()) > max {
            return Err(BodyError::TooLarge);
        }
        while chunk.has_remaining() {
            let len = chunk.chunk().len();
            bytes.extend_from_slice(chunk.chunk());
            chunk.advance(len);
        }
    }
    Ok(bytes.freeze())
}
