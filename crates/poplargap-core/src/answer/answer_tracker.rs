//! Checks that a streamed answer is complete, in order and belongs to its request.

use {
    super::TokenUsage, crate::name::RequestId, memchr::memmem, serde::Deserialize, std::borrow::Cow,
};

const DONE: &[u8] = b"data: [DONE]";
const ID_FIELD: &[u8] = b"id: ";
const DATA_FIELD: &[u8] = b"data: ";
const USAGE_MEMBER: &[u8] = b"\"usage\":{";

/// Classification of one event of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// The event is a keep-alive comment, which is not forwarded.
    Comment,
    /// The event was forwarded before.
    Duplicate,
    /// The event ends a complete answer.
    End,
    /// The upstream reports that it can't complete the answer.
    Failed,
    /// The event belongs to another request.
    Foreign,
    /// The event is the next one to forward to the caller.
    Forward,
    /// One or more events before this one are missing.
    Gap,
}

#[derive(Deserialize)]
struct EventHead<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct EventUsage {
    usage: Option<TokenUsage>,
}

/// Tracks the events of one answer over all attempts at its request.
#[derive(Debug)]
pub struct AnswerTracker {
    complete: bool,
    id: RequestId,
    next_index: u64,
    usage: Option<TokenUsage>,
}

impl AnswerTracker {
    /// Creates a tracker for the answer to the request `id`.
    #[must_use]
    pub fn new(id: RequestId) -> Self {
        Self {
            complete: false,
            id,
            next_index: 0,
            usage: None,
        }
    }

    /// Classifies one event, given with its final blank line, and advances past it.
    pub fn classify(&mut self, event: &[u8]) -> EventKind {
        if event.starts_with(b":") {
            return EventKind::Comment;
        }
        if event.starts_with(b"event: error") {
            return EventKind::Failed;
        }
        if event.starts_with(DONE) {
            self.complete = true;
            return EventKind::End;
        }
        let (index, data) = fields(event);
        if !self.matches_request(data) {
            return EventKind::Foreign;
        }
        match index {
            Some(index) => self.classify_token(index),
            None => self.classify_trailer(data),
        }
    }

    /// Returns whether the end of the answer was received.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the index of the next event to forward.
    #[must_use]
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Returns the token counts of the answer, if its upstream has sent them.
    #[must_use]
    pub fn usage(&self) -> Option<TokenUsage> {
        self.usage
    }

    fn matches_request(&self, data: &[u8]) -> bool {
        let id = self.id.as_str().as_bytes();
        let has_id_prefix = data
            .strip_prefix(b"{\"id\":\"")
            .and_then(|rest| rest.strip_prefix(id))
            .is_some_and(|rest| rest.starts_with(b"\""));
        has_id_prefix
            || serde_json::from_slice::<EventHead<'_>>(data)
                .ok()
                .and_then(|head| head.id)
                .is_some_and(|head| head.as_bytes() == id)
    }

    fn classify_token(&mut self, index: u64) -> EventKind {
        if index < self.next_index {
            return EventKind::Duplicate;
        }
        if index > self.next_index {
            return EventKind::Gap;
        }
        self.next_index += 1;
        EventKind::Forward
    }

    fn classify_trailer(&mut self, data: &[u8]) -> EventKind {
        if memmem::find(data, USAGE_MEMBER).is_none() {
            return EventKind::Forward;
        }
        if self.usage.is_some() {
            return EventKind::Duplicate;
        }
        self.usage = serde_json::from_slice::<EventUsage>(data)
            .ok()
            .and_then(|event| event.usage);
        EventKind::Forward
    }
}

/// Returns the index from the `id` field and the value of the `data` field.
fn fields(event: &[u8]) -> (Option<u64>, &[u8]) {
    let mut index = None;
    let mut data: &[u8] = &[];
    for line in event.split(|byte| *byte == b'\n') {
        if let Some(text) = line.strip_prefix(ID_FIELD) {
            index = std::str::from_utf8(text)
                .ok()
                .and_then(|text| text.trim().parse().ok());
        } else if let Some(bytes) = line.strip_prefix(DATA_FIELD) {
            data = bytes;
        }
    }
    (index, data)
}
