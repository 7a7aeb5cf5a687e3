//! Parser for server-sent events.

/// Default name of an event without an `event` field.
const MESSAGE: &str = "message";

/// One server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StreamEvent {
    pub(super) data: String,
    pub(super) name: String,
}

/// Parses server-sent events incrementally; ignores all fields but `data` and `event`.
#[derive(Debug, Default)]
pub(super) struct EventReader {
    bytes: Vec<u8>,
    data: Option<String>,
    name: Option<String>,
}

impl EventReader {
    /// Adds bytes and returns the events that they complete.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.bytes.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.bytes.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            events.extend(self.push_line(line.trim_end_matches(['\r', '\n'])));
        }
        events
    }

    fn push_line(&mut self, line: &str) -> Option<StreamEvent> {
        if line.is_empty() {
            let name = self.name.take();
            let data = self.data.take()?;
            let name = name.unwrap_or_else(|| MESSAGE.to_owned());
            return Some(StreamEvent { data, name });
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => match &mut self.data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => self.data = Some(value.to_owned()),
            },
            "event" => self.name = Some(value.to_owned()),
            _ => {}
        }
        None
    }
}
