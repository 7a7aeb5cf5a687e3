//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// The path of a request, with its query.
    pub fn target(&self) -> &str {
        self.word(1)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    /// Reads more bytes; `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.unread.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.unread.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.unread.len() < count {
            if !self.fill()? {
                body.append(&mut self.unread);
                return Ok(false);
            }
        }
        body.extend(self.unread.drain(..count));
        Ok(true)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        let value = value.trim().to_owned();
                        message.headers.push((name.to_owned(), value));
                    }
                }
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, message: &mut Message, is_answer: bool) -> io::Result<()> {
        let is_chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let mut body = Vec::new();
        if is_chunked {
            loop {
                let Some(line) = self.line()? else { break };
                let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                    break;
                };
                if !self.take(size, &mut body)? {
                    break;
                }
                if self.line()?.is_none() {
                    break;
                }
                if size == 0 {
                    message.whole = true;
                    break;
                }
            }
        } else if let Some(length) = length {
            message.whole = self.take(length, &mut body)?;
        } else if is_answer && !matches!(message.status(), 204 | 304) {
            while self.fill()? {}
            body.append(&mut self.unread);
            message.whole = true;
        } else {
            message.whole = true;
        }
        message.body = body;
        Ok(())
    }

    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        match self.read_body(&mut message, is_answer) {
            Ok(()) => {}
            Err(_) => message.whole = false,
        }
        Ok(Some(message))
    }

    pub fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {length}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
