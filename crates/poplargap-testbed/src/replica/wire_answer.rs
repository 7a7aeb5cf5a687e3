use super::SeenRequest;

/// Number of events in a complete stream.
pub(super) const EVENT_COUNT: u64 = 6;

/// Builder of a replica's HTTP answers.
#[derive(Clone, Debug)]
pub(super) struct WireAnswer {
    id: String,
    is_leaving: bool,
    load: String,
}

impl WireAnswer {
    /// Creates the builder of the answer to `request`; `load` is the replica's load report.
    pub(super) fn new(request: &SeenRequest, load: String, is_leaving: bool) -> Self {
        Self {
            id: request.header("attempt-id").unwrap_or("").to_owned(),
            is_leaving,
            load,
        }
    }

    /// Returns the head of a signed answer; `framing` holds the header lines that delimit the body.
    pub(super) fn head(&self, status: &str, framing: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nResponse-Signature: signed-{id}\r\n\
             Instance-Load: {load}\r\nKeep-Alive: timeout=5\r\n{leaving}{framing}\r\n",
            id = self.id,
            leaving = leaving_line(self.is_leaving),
            load = self.load,
        )
    }

    pub(super) fn whole(&self, status: &str) -> String {
        let body = format!("answer to {}", self.id);
        let head = self.head(status, &format!("Content-Length: {}\r\n", body.len()));
        head + &body
    }

    pub(super) fn unsigned(&self) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nContent-Length: 2\r\n\r\nno",
            self.id
        )
    }

    /// Returns a refusal; `id` is that of the refused request.
    pub(super) fn not_executed(id: Option<&str>, is_leaving: bool, retry_after: &str) -> String {
        let id = id_line(id);
        let leaving = leaving_line(is_leaving);
        let retry = if retry_after.is_empty() {
            String::new()
        } else {
            format!("Retry-After: {retry_after}\r\n")
        };
        format!(
            "HTTP/1.1 503 Service Unavailable\r\n{id}{leaving}{retry}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
    }

    /// Returns the answer to a request for another replica.
    pub(super) fn wrong_replica(own: &str, request: &SeenRequest) -> String {
        let id = id_line(request.header("attempt-id"));
        format!(
            "HTTP/1.1 421 Misdirected Request\r\n{id}Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
        )
    }

    /// Returns the text of one event.
    pub(super) fn event_text(number: u64) -> String {
        format!("id: {number}\ndata: piece {number}\n\n")
    }

    /// Returns one event as an HTTP chunk.
    pub(super) fn event(number: u64) -> String {
        Self::chunk(&Self::event_text(number))
    }

    /// Returns a text as an HTTP chunk.
    pub(super) fn chunk(text: &str) -> String {
        format!("{:x}\r\n{text}\r\n", text.len())
    }
}

fn leaving_line(is_leaving: bool) -> &'static str {
    if is_leaving {
        "Server-Leaving: 1\r\n"
    } else {
        ""
    }
}

fn id_line(id: Option<&str>) -> String {
    id.map_or_else(String::new, |id| format!("Attempt-Id: {id}\r\n"))
}
