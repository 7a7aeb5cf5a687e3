//! HTTP/1.1 over blocking sockets: enough for the stand-ins and their clients.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

#[derive(Debug, Default, Clone)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.first.is_empty() {
            if !line.is_empty() {
                head.first = line.to_owned();
            }
            continue;
        }
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request.
pub fn read_body<R: BufRead>(reader: &mut R, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.field("transfer-encoding").is_some() {
        while let Some(piece) = read_chunk(reader)? {
            body.extend(piece);
        }
    } else if let Some(length) = head.field("content-length") {
        body.resize(length.parse().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Reads a chunk; `None` after the last one.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size =
        usize::from_str_radix(size, 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut piece = vec![0; size];
    reader.read_exact(&mut piece)?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok((size > 0).then_some(piece))
}

/// What a client saw of one answer.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its head declares.
    pub complete: bool,
    /// Whether the client left, since nothing came for as long as it waits, or as it was told to.
    pub left: bool,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    pub fn is_signed(&self) -> bool {
        self.head.field("response-signature").is_some()
    }

    /// Returns the events of the body with their ids and whole texts.
    pub fn events(&self) -> Vec<(Option<u64>, String)> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let mut events = Vec::new();
        let mut rest = text.as_str();
        while let Some((event, after)) = rest.split_once("\n\n") {
            let id = event.lines().find_map(|line| line.strip_prefix("id:"));
            let id = id.and_then(|id| id.trim().parse().ok());
            events.push((id, event.to_owned()));
            rest = after;
        }
        events
    }
}

/// How long a client waits.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Longest time without a byte.
    pub gap: Duration,
    /// Longest time in all.
    pub total: Duration,
}

/// A client's connection.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Client {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads one answer; `is_left` is asked after each piece.
    pub fn answer(&mut self, patience: Patience, is_left: &dyn Fn(&Answer) -> bool) -> Answer {
        let mut answer = Answer::default();
        let end = Instant::now() + patience.total;
        if let Err(error) = self.read_answer(&mut answer, patience, end, is_left) {
            answer.left = matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
            );
        }
        answer
    }

    fn limit(&self, patience: Patience, end: Instant) -> io::Result<()> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let stream = self.reader.get_ref();
        stream.set_read_timeout(Some(left.min(patience.gap)))
    }

    fn read_answer(
        &mut self,
        answer: &mut Answer,
        patience: Patience,
        end: Instant,
        is_left: &dyn Fn(&Answer) -> bool,
    ) -> io::Result<()> {
        loop {
            self.limit(patience, end)?;
            let Some(head) = read_head(&mut self.reader)? else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            let is_interim = (100..200).contains(&head.status()) && head.status() != 101;
            answer.head = head;
            if !is_interim {
                break;
            }
        }
        if answer.head.field("transfer-encoding").is_some() {
            loop {
                if is_left(answer) {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                self.limit(patience, end)?;
                match read_chunk(&mut self.reader)? {
                    Some(piece) => answer.body.extend(piece),
                    None => {
                        answer.complete = true;
                        return Ok(());
                    }
                }
            }
        }
        if let Some(length) = answer.head.field("content-length") {
            let mut left: usize = length.parse().unwrap_or(0);
            let mut piece = [0; 4096];
            while left > 0 {
                self.limit(patience, end)?;
                let wanted = left.min(piece.len());
                let count = self.reader.read(&mut piece[..wanted])?;
                if count == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                answer.body.extend(&piece[..count]);
                left -= count;
            }
            answer.complete = true;
            return Ok(());
        }
        let status = answer.status();
        if status == 204 || status == 304 || status == 101 {
            answer.complete = true;
            return Ok(());
        }
        let mut piece = [0; 4096];
        loop {
            self.limit(patience, end)?;
            let count = self.reader.read(&mut piece)?;
            if count == 0 {
                answer.complete = true;
                return Ok(());
            }
            answer.body.extend(&piece[..count]);
        }
    }
}

/// Returns the bytes of a chunk.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend(bytes);
    chunk.extend(b"\r\n");
    chunk
}
