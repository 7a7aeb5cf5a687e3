//! Splits a byte stream into server-sent events.
//!
//! The format is that of the WHATWG HTML standard, section "Server-sent events", with line feeds as
//! line ends.

use {
    bytes::{Bytes, BytesMut},
    displaydoc::Display,
    memchr::memmem,
};

/// Longest event in bytes, its final blank line included.
pub const EVENT_LEN_MAX: usize = 1024 * 1024;

const EVENT_END: &[u8] = b"\n\n";

/// An error that makes the rest of a byte stream unusable.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SplitError {
    /// an event is longer than 1 MiB
    TooLong,
}

impl std::error::Error for SplitError {}

/// Splits chunks of bytes into events; an incomplete event is kept until its rest arrives.
#[derive(Debug, Default)]
pub struct EventSplitter {
    chunk: Bytes,
    rest: BytesMut,
}

impl EventSplitter {
    /// Adds the next chunk; [`Self::next_event`] must have returned all events of the last one.
    ///
    /// # Errors
    ///
    /// Returns an error when an event, complete or not, is too long.
    pub fn push(&mut self, chunk: Bytes) -> Result<(), SplitError> {
        debug_assert!(
            self.chunk.is_empty(),
            "the last chunk still contains events"
        );
        if self.rest.is_empty() {
            self.chunk = chunk;
        } else {
            self.rest.extend_from_slice(&chunk);
            self.chunk = self.rest.split().freeze();
        }
        if has_long_event(&self.chunk) {
            self.chunk.clear();
            return Err(SplitError::TooLong);
        }
        Ok(())
    }

    /// Returns the next complete event with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        if let Some(position) = memmem::find(&self.chunk, EVENT_END) {
            return Some(self.chunk.split_to(position + EVENT_END.len()));
        }
        self.rest.extend_from_slice(&self.chunk);
        self.chunk.clear();
        None
    }

    /// Removes and returns the bytes of an incomplete event, if any.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = self.rest.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }
}

/// Returns whether `chunk` contains an event that is too long.
///
/// A chunk that is not longer than the limit isn't searched.
fn has_long_event(chunk: &[u8]) -> bool {
    let mut rest = chunk;
    while rest.len() > EVENT_LEN_MAX {
        let Some(position) = memmem::find(rest, EVENT_END) else {
            return true;
        };
        let len = position + EVENT_END.len();
        if len > EVENT_LEN_MAX {
            return true;
        }
        rest = &rest[len..];
    }
    false
}
