use {
    bytes::{Bytes, BytesMut},
    displaydoc::Display,
    memchr::memmem,
};

/// Most bytes of one incomplete event.
const EVENT_BYTES_MAX: usize = 256 * 1024;

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data";

/// An error in an event stream.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CursorError {
    /// an event came out of order
    OutOfOrder,
    /// an event is longer than 256 KiB
    TooLong,
}

impl std::error::Error for CursorError {}

/// Splits an event stream into whole events and tracks the id of the last one.
///
/// An incomplete event is buffered until it is whole, so that a broken stream can be resumed at
/// another replica after the last whole event.
#[derive(Debug, Default)]
pub struct EventCursor {
    event_count: u64,
    last_id: Option<u64>,
    rest: BytesMut,
}

impl EventCursor {
    /// Creates a cursor after the event `last_id`, the last that the caller received.
    #[must_use]
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            event_count: 0,
            last_id,
            rest: BytesMut::new(),
        }
    }

    /// Returns the number of whole events with data so far; comments and blank lines are none.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds a chunk and returns the whole events that are available, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if an event's id isn't greater than the last one, or an incomplete event
    /// is too long.
    pub fn push(&mut self, chunk: Bytes) -> Result<Option<Bytes>, CursorError> {
        let mut chunk = if self.rest.is_empty() {
            chunk
        } else {
            self.rest.extend_from_slice(&chunk);
            self.rest.split().freeze()
        };
        let Some(end) = memmem::rfind(&chunk, EVENT_END) else {
            return self.buffer(&chunk).map(|()| None);
        };
        let rest = chunk.split_off(end + EVENT_END.len());
        self.buffer(&rest)?;
        self.advance(&chunk)?;
        Ok(Some(chunk))
    }

    /// Returns whether no incomplete event is buffered; blank lines are none.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.rest.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
    }

    /// Takes the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        (!self.rest.is_empty()).then(|| self.rest.split().freeze())
    }

    fn buffer(&mut self, rest: &[u8]) -> Result<(), CursorError> {
        if rest.len() > EVENT_BYTES_MAX {
            return Err(CursorError::TooLong);
        }
        self.rest.extend_from_slice(rest);
        Ok(())
    }

    fn advance(&mut self, events: &[u8]) -> Result<(), CursorError> {
        let mut start = 0;
        while let Some(len) = memmem::find(&events[start..], EVENT_END) {
            let event = &events[start..start + len];
            start += len + EVENT_END.len();
            self.event_count += u64::from(has_data(event));
            let Some(id) = event_id(event) else {
                continue;
            };
            if self.last_id.is_some_and(|last| id <= last) {
                return Err(CursorError::OutOfOrder);
            }
            self.last_id = Some(id);
        }
        Ok(())
    }
}

/// Returns whether an event has a data field.
fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(DATA_FIELD))
}

/// Returns the value of an event's `id` field, if it is a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    text.trim().parse().ok()
}
