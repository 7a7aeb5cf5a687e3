//! A client of the daemons.

use {
    crate::http::{Head, Reader},
    std::{
        io::{self, ErrorKind, Write},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
};

/// How an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The connection closed before the end.
    Closed,
    /// The client's patience ended.
    TimedOut,
    Whole,
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub body: String,
    pub end: End,
    /// `None` if the connection closed before the head was whole.
    pub head: Option<Head>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.as_ref()?.get(name)
    }
}

/// A connection to a daemon.
pub struct Client {
    reader: Reader,
    writer: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: Reader::new(stream.try_clone()?),
            writer: stream,
        })
    }

    /// Sends the bytes of a request.
    pub fn send(&mut self, request: &str) -> io::Result<()> {
        self.writer.write_all(request.as_bytes())
    }

    /// Reads an answer; the client leaves after `patience` without a byte, or at `deadline`.
    pub fn read(&mut self, patience: Duration, deadline: Instant) -> Answer {
        let mut answer = Answer {
            body: String::new(),
            end: End::Closed,
            head: None,
        };
        answer.end = match self.read_into(&mut answer, patience, deadline) {
            Ok(()) => End::Whole,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                End::TimedOut
            }
            Err(_) => End::Closed,
        };
        answer
    }

    fn read_into(
        &mut self,
        answer: &mut Answer,
        patience: Duration,
        deadline: Instant,
    ) -> io::Result<()> {
        self.arm(patience, deadline)?;
        let head = self.reader.head()?.ok_or(ErrorKind::UnexpectedEof)?;
        answer.head = Some(head.clone());
        if head.get("transfer-encoding").is_none() {
            let body = self.reader.body(&head)?;
            answer.body = String::from_utf8_lossy(&body).into_owned();
            return Ok(());
        }
        loop {
            self.arm(patience, deadline)?;
            match self.reader.chunk()? {
                Some(chunk) => answer.body.push_str(&String::from_utf8_lossy(&chunk)),
                None => return Ok(()),
            }
        }
    }

    fn arm(&self, patience: Duration, deadline: Instant) -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.writer.set_read_timeout(Some(patience.min(left)))
    }
}

/// Returns the bytes of a request; `more` ends each line with CR LF.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    more: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nX-Api-Key: {key}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
