//! The part of a replica that all cases share: connections and the heads of requests.

use crate::wire::{self, Head};
use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A request as a replica sees it.
pub struct Received {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Received {
    pub fn id(&self) -> String {
        self.head.field("attempt-id").unwrap_or("none").to_owned()
    }

    pub fn last_event(&self) -> Option<u64> {
        self.head.field("last-event-id")?.parse().ok()
    }
}

/// Answers the requests on each connection with `answer`, which returns whether the connection stays
/// open. A request for another replica is answered 421.
pub fn serve<F>(listener: TcpListener, id: String, answer: F)
where
    F: Fn(&Received, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    for stream in listener.incoming().flatten() {
        let (answer, id) = (Arc::clone(&answer), id.clone());
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Ok(Some(head)) = wire::read_head(&mut reader) {
                let Ok(body) = wire::read_body(&mut reader, &head) else {
                    return;
                };
                let received = Received { head, body };
                let expected = received.head.field("expect-instance");
                if expected.is_some_and(|expected| expected != id) {
                    let text = format!(
                        "HTTP/1.1 421 x\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                        received.id()
                    );
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    continue;
                }
                if !answer(&received, &mut writer) {
                    return;
                }
            }
        });
    }
}

/// Returns the head of a stream in chunks.
pub fn stream_head(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the head of a stream with neither a length nor chunks.
pub fn open_head(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the text of an event.
pub fn event(number: u64, id: &str) -> String {
    format!("id: {number}\ndata: piece {number} of {id}\n\n")
}
