//! A client of the platform, after PROTOCOL.md.

use {
    crate::http::{Connection, Message},
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub body: Vec<u8>,
    pub deadline_ms: u64,
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub tenant: usize,
    /// Further header lines, each with its end.
    pub more: String,
}

pub const HOST: &str = "ficu95.example";

/// Number of tenants.
pub const TENANTS: usize = 10;

/// Returns a tenant's API key.
pub fn key(tenant: usize) -> String {
    format!("n2ctnfzs989anu6wsj{tenant:02}")
}

impl Attempt {
    pub fn bytes(&self) -> Vec<u8> {
        let Attempt {
            body,
            deadline_ms,
            id,
            method,
            path,
            more,
            tenant,
        } = self;
        let key = key(*tenant);
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nX-Api-Key: {key}\r\n{more}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Sends the attempt on a new connection and reads the answer; `None` if there is none.
    pub fn send(&self, daemon: SocketAddr) -> Option<Message> {
        let stream = TcpStream::connect_timeout(&daemon, Duration::from_secs(1)).ok()?;
        let timeout = Duration::from_millis(self.deadline_ms + 500);
        stream.set_read_timeout(Some(timeout)).ok()?;
        let mut connection = Connection::new(stream);
        connection.stream.write_all(&self.bytes()).ok()?;
        connection.read(true).ok()?
    }
}
