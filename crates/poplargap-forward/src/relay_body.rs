//! The bodies of answers to callers.

use {
    bytes::Bytes,
    displaydoc::Display,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::sync::mpsc,
};

/// Most chunks that are buffered for a slow caller.
pub(crate) const CHUNKS_MAX: usize = 32;

/// The error of an answer that ends early.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TruncatedBody {
    /// the answer was cut off
    Broken,
}

impl std::error::Error for TruncatedBody {}

/// The body of an answer, whole or relayed in chunks.
#[derive(Debug)]
pub(crate) enum RelayBody {
    /// The whole body.
    Whole(Bytes),
    /// A body from a relay; if the channel closes without [`RelayChunk::End`], it is truncated.
    Relayed(mpsc::Receiver<RelayChunk>),
    /// The body is truncated, and the error follows.
    Truncated,
    /// The body has ended.
    Done,
}

/// A part of a relayed body.
#[derive(Debug)]
pub(crate) enum RelayChunk {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The regular end of the body.
    End,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let body = self.get_mut();
        match body {
            Self::Done => Poll::Ready(None),
            Self::Relayed(chunks) => match ready!(chunks.poll_recv(cx)) {
                Some(RelayChunk::Bytes(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(RelayChunk::End) => {
                    *body = Self::Done;
                    Poll::Ready(None)
                }
                None => {
                    // An error makes the server drop what it has buffered; while it waits, it
                    // sends these bytes.
                    *body = Self::Truncated;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
            },
            Self::Truncated => {
                *body = Self::Done;
                Poll::Ready(Some(Err(TruncatedBody::Broken)))
            }
            Self::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                *body = Self::Done;
                Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Done => true,
            Self::Relayed(_) | Self::Truncated => false,
            Self::Whole(bytes) => bytes.is_empty(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Done => SizeHint::with_exact(0),
            Self::Relayed(_) | Self::Truncated => SizeHint::default(),
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
        }
    }
}
