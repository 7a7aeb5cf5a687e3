use {
    std::collections::BTreeMap,
    tokio::io::{AsyncRead, AsyncReadExt},
};

/// Longest request head, in bytes.
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// A request that a replica received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeenRequest {
    /// Body, of the length that `Content-Length` gives.
    pub body: Vec<u8>,
    /// Header values by header name in lower case.
    pub headers: BTreeMap<String, String>,
    /// Method and target of the request line, without the protocol version.
    pub line: String,
}

impl SeenRequest {
    /// Returns the value of the header with this lower-case name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the id of the event after which a stream resumes; 0 if there is none.
    #[must_use]
    pub fn last_event(&self) -> u64 {
        let id = self.header("last-event-id");
        id.and_then(|id| id.parse().ok()).unwrap_or(0)
    }

    /// Returns whether the prompt has a part with this hash before its last part.
    #[must_use]
    pub fn shares_part(&self, hash: u64) -> bool {
        let prompt = self.header("prefix-hash").unwrap_or("");
        let Some((shared, _)) = prompt.rsplit_once(',') else {
            return false;
        };
        let name = format!("{hash:x}");
        let mut parts = shared.split(',').filter_map(|part| part.split_once(':'));
        parts.any(|(part, _)| part.trim() == name)
    }

    /// Returns whether the prompt or the body ends with this text.
    #[must_use]
    pub fn ends_with(&self, text: &str) -> bool {
        let prompt = self.header("prefix-hash").unwrap_or("");
        prompt.ends_with(text) || self.body.ends_with(text.as_bytes())
    }

    /// Reads the head of a request; `None` when the connection is closed or the head is malformed
    /// or too long.
    pub(super) async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> Option<Self> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if head.len() > HEAD_BYTES_MAX {
                return None;
            }
            head.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).ok()?;
        let mut lines = head.lines();
        let line = lines.next()?;
        let line = line.trim_end_matches(" HTTP/1.1").to_owned();
        let headers: BTreeMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Some(Self {
            body: Vec::new(),
            headers,
            line,
        })
    }

    /// Reads the body that follows the head; `None` when the connection is closed.
    pub(super) async fn read_body(mut self, stream: &mut (impl AsyncRead + Unpin)) -> Option<Self> {
        let len = self.headers.get("content-length");
        let len = len.and_then(|len| len.parse().ok()).unwrap_or(0);
        self.body = vec![0; len];
        stream.read_exact(&mut self.body).await.ok()?;
        Some(self)
    }
}
