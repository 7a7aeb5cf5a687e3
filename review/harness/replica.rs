//! A stand-in of a replica, after PROTOCOL.md; a case adds what it does with a request.

use {
    crate::{
        http::{Connection, Message},
        record::record,
    },
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// What a case does with a request; `false` closes the connection.
pub type Behaviour = Arc<dyn Fn(&mut Call) -> io::Result<bool> + Send + Sync>;

#[derive(Clone, Debug)]
pub struct Replica {
    pub address: SocketAddr,
    pub born: u64,
    pub id: String,
    pub service: &'static str,
    pub slots: u32,
    pub zone: &'static str,
}

/// A request at a replica.
pub struct Call<'a> {
    pub connection: &'a mut Connection,
    pub replica: &'a Replica,
    pub request: &'a Message,
}

impl Replica {
    /// The key of the registration.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The value of the registration.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        let Replica {
            address,
            born,
            service,
            slots,
            zone,
            ..
        } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","coldRemainingMs":0,"born":{born},"sequence":{sequence}}}"#
        )
    }

    /// Serves until the process ends.
    pub fn serve(self, listener: TcpListener, behaviour: Behaviour) {
        for stream in listener.incoming().flatten() {
            let (replica, behaviour) = (self.clone(), Arc::clone(&behaviour));
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read(false) {
                    if !request.whole {
                        return;
                    }
                    let mut call = Call {
                        connection: &mut connection,
                        replica: &replica,
                        request: &request,
                    };
                    match call.take(&behaviour) {
                        Ok(true) => {}
                        _ => return,
                    }
                }
            });
        }
    }
}

impl Call<'_> {
    pub fn id(&self) -> &str {
        self.request.header("attempt-id").unwrap_or("")
    }

    fn take(&mut self, behaviour: &Behaviour) -> io::Result<bool> {
        if self.request.target() == "/healthz" {
            let headers = format!("Instance-Id: {}\r\n", self.replica.id);
            self.connection.answer(200, &headers, b"")?;
            return Ok(true);
        }
        let expected = self.request.header("expect-instance");
        if expected.is_some_and(|id| id != self.replica.id) {
            record(&format!(
                "replica {} answers {} with 421",
                self.replica.id,
                self.id()
            ));
            let headers = self.head("Not-Executed: 1\r\n");
            self.connection.answer(421, &headers, b"")?;
            return Ok(true);
        }
        behaviour(self)
    }

    /// The headers of each answer, with further ones.
    pub fn head(&self, more: &str) -> String {
        let id = self.id();
        format!(
            "Attempt-Id: {id}\r\nInstance-Id: {}\r\n{more}",
            self.replica.id
        )
    }

    pub fn signed(&self, more: &str) -> String {
        let signature = format!("Response-Signature: 3e1b.{}.c9f2a4d1\r\n{more}", self.id());
        self.head(&signature)
    }

    pub fn run(&self) {
        record(&format!("replica {} runs {}", self.replica.id, self.id()));
    }

    /// Answers with 200 and a small body.
    pub fn answer_ok(&mut self) -> io::Result<bool> {
        let headers = self.signed("");
        let body = format!("done {}", self.id());
        self.connection.answer(200, &headers, body.as_bytes())?;
        Ok(true)
    }

    /// Begins an event stream.
    pub fn begin_stream(&mut self) -> io::Result<()> {
        let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", self.signed(more));
        self.connection.stream.write_all(head.as_bytes())
    }

    pub fn event(&mut self, number: u64) -> io::Result<()> {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.connection.stream.write_all(chunk.as_bytes())
    }

    /// Sends the events after the client's last one, up to `last`, and the end of the stream.
    pub fn finish_stream(&mut self, first: u64, last: u64, pause: Duration) -> io::Result<bool> {
        for number in first..=last {
            self.event(number)?;
            thread::sleep(pause);
        }
        self.connection.stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    /// The number of the first event that the client lacks.
    pub fn first_event(&self) -> u64 {
        let last = self.request.header("last-event-id");
        last.and_then(|text| text.parse::<u64>().ok())
            .map_or(1, |last| last + 1)
    }
}
