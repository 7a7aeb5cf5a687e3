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
    /// an event's id isn't a number though earlier ones were
    InvalidId,
    /// an event came out of order
    OutOfOrder,
    /// an event is longer than 256 KiB
    TooLong,
}

impl std::error::Error for CursorError {}

/// What a chunk added to a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventBatch {
    /// The error behind the events, if there is one; the stream can't be read any further.
    pub error: Option<CursorError>,
    /// Whole events in order. They come before the error and count in [`EventCursor::last_id`], so
    /// that a stream that resumes after this id lacks them unless they are passed on.
    pub events: Option<Bytes>,
}

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
    /// The batch has an error if an event's id isn't greater than the last one or can't be read, or
    /// if an incomplete event is too long; the events before the error are returned nevertheless.
    pub fn push(&mut self, chunk: Bytes) -> EventBatch {
        let mut chunk = if self.rest.is_empty() {
            chunk
        } else {
            self.rest.extend_from_slice(&chunk);
            self.rest.split().freeze()
        };
        let Some(end) = memmem::rfind(&chunk, EVENT_END) else {
            return EventBatch {
                error: self.buffer(&chunk).err(),
                events: None,
            };
        };
        let rest = chunk.split_off(end + EVENT_END.len());
        let (len, error) = self.advance(&chunk);
        let error = error.or_else(|| self.buffer(&rest).err());
        chunk.truncate(len);
        EventBatch {
            error,
            events: (!chunk.is_empty()).then_some(chunk),
        }
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

    /// Moves over whole events; returns the length of those before an error, and the error.
    fn advance(&mut self, events: &[u8]) -> (usize, Option<CursorError>) {
        let mut start = 0;
        while let Some(len) = memmem::find(&events[start..], EVENT_END) {
            let event = &events[start..start + len];
            if let Err(error) = self.check_id(event) {
                return (start, Some(error));
            }
            self.event_count += u64::from(has_data(event));
            start += len + EVENT_END.len();
        }
        (start, None)
    }

    /// Checks an event's id and keeps it as the last one.
    fn check_id(&mut self, event: &[u8]) -> Result<(), CursorError> {
        let Some(field) = id_field(event) else {
            return Ok(());
        };
        let Some(last) = self.last_id else {
            self.last_id = read_id(field);
            return Ok(());
        };
        let id = read_id(field).ok_or(CursorError::InvalidId)?;
        if id <= last {
            return Err(CursorError::OutOfOrder);
        }
        self.last_id = Some(id);
        Ok(())
    }
}

/// Returns whether an event has a data field.
fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(DATA_FIELD))
}

/// Returns the bytes of an event's `id` field.
fn id_field(event: &[u8]) -> Option<&[u8]> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find(|line| line.starts_with(ID_FIELD))?;
    Some(&line[ID_FIELD.len()..])
}

fn read_id(field: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(field).ok()?;
    text.trim().parse().ok()
}
