//! A stand-in of a replica, whose answers are scripted.

use {
    crate::{
        http::{Head, Reader},
        record::Record,
    },
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
    },
};

/// A request that reached a replica, and the way back.
pub struct Call {
    pub body: Vec<u8>,
    pub head: Head,
    /// Number of the request on its connection, from 1.
    pub number: usize,
    pub replica: String,
    pub stream: TcpStream,
}

impl Call {
    pub fn id(&self) -> &str {
        self.head.get("attempt-id").unwrap_or("")
    }

    /// Returns whether the daemon has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut byte);
        drop(self.stream.set_nonblocking(false));
        match peeked {
            Ok(len) => len == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Writes bytes.
    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Writes the head of an answer; `more` ends each line with CR LF.
    pub fn write_head(&mut self, status: &str, more: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {}\r\nInstance-Id: {}\r\n{more}\r\n",
            self.id(),
            self.replica
        );
        self.write(&head)
    }

    /// Writes a whole signed answer.
    pub fn answer(&mut self, status: &str, body: &str) -> io::Result<()> {
        let more = format!(
            "Response-Signature: s.{}.{}\r\nContent-Length: {}\r\n",
            self.replica,
            self.id(),
            body.len()
        );
        self.write_head(status, &more)?;
        self.write(body)
    }

    /// Writes that the request isn't run.
    pub fn refuse(&mut self) -> io::Result<()> {
        self.write_head(
            "503 Service Unavailable",
            "Not-Executed: 1\r\nContent-Length: 0\r\n",
        )
    }

    /// Begins a signed event stream.
    pub fn begin_stream(&mut self) -> io::Result<()> {
        let more = format!(
            "Response-Signature: s.{}.{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            self.replica,
            self.id()
        );
        self.write_head("200 OK", &more)
    }

    /// Writes one event.
    pub fn write_event(&mut self, number: u64, text: &str) -> io::Result<()> {
        let event = format!("id: {number}\ndata: {text}\n\n");
        self.write(&format!("{:x}\r\n{event}\r\n", event.len()))
    }

    /// Ends a stream.
    pub fn end_stream(&mut self) -> io::Result<()> {
        self.write("0\r\n\r\n")
    }
}

/// Starts a replica; `answer` returns whether the connection stays open.
///
/// Health checks and state requests are answered here, and requests for another instance are
/// answered 421.
pub fn start<F>(
    address: SocketAddr,
    id: &str,
    record: &Arc<Record>,
    answer: F,
) -> io::Result<SocketAddr>
where
    F: Fn(&mut Call) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let answer = Arc::new(answer);
    let (id, record) = (id.to_owned(), Arc::clone(record));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, id, record) = (Arc::clone(&answer), id.clone(), Arc::clone(&record));
            thread::spawn(move || drop(serve(stream, &id, &record, answer.as_ref())));
        }
    });
    Ok(address)
}

fn serve<F>(stream: TcpStream, id: &str, record: &Record, answer: &F) -> io::Result<()>
where
    F: Fn(&mut Call) -> io::Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    let mut number = 0;
    while let Some(head) = reader.head()? {
        let body = reader.body(&head)?;
        number += 1;
        let mut call = Call {
            body,
            head,
            number,
            replica: id.to_owned(),
            stream: stream.try_clone()?,
        };
        let expected = call.head.get("expect-instance").map(str::to_owned);
        if expected.as_deref().is_some_and(|expected| expected != id) {
            record.add(format!(
                "replica {id}: {} is for {expected:?}: 421",
                call.id()
            ));
            call.write_head("421 Misdirected Request", "Content-Length: 0\r\n")?;
            continue;
        }
        if !answer(&mut call)? {
            return Ok(());
        }
    }
    Ok(())
}
