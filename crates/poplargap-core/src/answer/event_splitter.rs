//! Splits a byte stream into server-sent events.
//!
//! The format is that of the WHATWG HTML standard, section "Server-sent events", with line feeds as
//! line ends.

use {
    bytes::{Bytes, BytesMut},
    displaydoc::Display,
    memchr::memmem,
};

/// Most bytes of one event.
pub const EVENT_LEN_MAX: usize = 1024 * 1024;

const EVENT_END: &[u8] = b"\n\n";

/// A byte stream that holds no events.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SplitError {
    /// an event is longer than 1 MiB
    TooLong,
}

impl std::error::Error for SplitError {}

/// Cuts chunks of bytes into whole events, keeping an unfinished event until its rest comes.
#[derive(Debug, Default)]
pub struct EventSplitter {
    chunk: Bytes,
    rest: BytesMut,
}

impl EventSplitter {
    /// Takes in the next chunk; the events of the last chunk must have been taken out.
    ///
    /// # Errors
    ///
    /// Returns an error when an event, finished or not, is too long.
    pub fn push(&mut self, chunk: Bytes) -> Result<(), SplitError> {
        debug_assert!(
            self.chunk.is_empty(),
            "the last chunk's events are still inside"
        );
        if self.rest.is_empty() {
            self.chunk = chunk;
        } else {
            self.rest.extend_from_slice(&chunk);
            self.chunk = self.rest.split().freeze();
        }
        if holds_long_event(&self.chunk) {
            self.chunk.clear();
            return Err(SplitError::TooLong);
        }
        Ok(())
    }

    /// Returns the next whole event with the blank line that ends it.
    pub fn next_event(&mut self) -> Option<Bytes> {
        if let Some(position) = memmem::find(&self.chunk, EVENT_END) {
            return Some(self.chunk.split_to(position + EVENT_END.len()));
        }
        self.rest.extend_from_slice(&self.chunk);
        self.chunk.clear();
        None
    }

    /// Returns the bytes of an unfinished event and forgets them.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = self.rest.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }
}

/// Returns whether an event of `chunk` is too long; a short chunk is not searched.
fn holds_long_event(chunk: &[u8]) -> bool {
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
