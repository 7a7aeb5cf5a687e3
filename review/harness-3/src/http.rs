//! Reads HTTP/1.1 messages from blocking streams.

use std::{
    io::{self, ErrorKind, Read},
    net::TcpStream,
};

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1).unwrap_or("");
        status.parse().unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    buffer: Vec<u8>,
    stream: TcpStream,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            buffer: Vec::new(),
            stream,
        }
    }

    /// Reads more bytes; returns `false` at the end of the stream.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 64 * 1024];
        let len = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..len]);
        Ok(len > 0)
    }

    /// Reads a head; `None` if the stream ends before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse(&text)));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a whole body as its head describes it.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk()? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        let len = head.get("content-length").and_then(|len| len.parse().ok());
        self.exact(len.unwrap_or(0))
    }

    /// Reads one chunk of a chunked body; `None` after the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or("").trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| ErrorKind::InvalidData)?;
        let chunk = self.exact(size)?;
        self.line()?;
        Ok((size > 0).then_some(chunk))
    }

    fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < len {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Head {
        line,
        headers: headers.collect(),
    }
}

/// Decodes the percent escapes of a query value.
pub fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3);
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 2;
            }
            (b'+', _) => plain.push(b' '),
            (byte, _) => plain.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Returns a parameter of a target's query.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(known, _)| *known == name);
    found.next().map(|(_, value)| unescape(value))
}
