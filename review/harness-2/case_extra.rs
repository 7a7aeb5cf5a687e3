//! Replicas send an additional answer without an id after a complete one; it comes late, where the next
//! answer on the connection is expected.

use crate::{
    fleet::{self, Daemon, Entry, HOST, KEY, Record, Registry},
    replica::{self, Received},
    store::Store,
    wire::{Answer, Patience},
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Half of the replicas add three answers to 100.
const REPLICAS: u64 = 4;
const SPOILING: u64 = 2;
const EXTRA_PER_100: u64 = 3;

const LOOKUPS: u64 = 2_000;
const CLIENTS: u64 = 10;

/// Time of a replica's work.
const WORK: Duration = Duration::from_millis(10);

/// What an HTTP server writes when it can't make sense of what it read.
const EXTRA: &[u8] = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";

/// The rule allows 5 and one in 500 of all requests.
const DENIED_MAX: u64 = 5 + LOOKUPS / 500;

pub fn run(root: &Path, record: &Record) -> i32 {
    let store = Store::start();
    let registry = Registry::start(&store);
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    for number in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a replica");
        let id = format!("i-{number:04x}");
        registry.add(Entry {
            id: id.clone(),
            service: "wuno96b",
            address: listener.local_addr().unwrap(),
            slots: 6,
            born: fleet::unix_ms(),
        });
        let spoils = number < SPOILING && fleet::has_trouble();
        let desk = Desk {
            answers: AtomicU64::new(0),
            extra_due: Mutex::default(),
            id: id.clone(),
            record: record.clone(),
            runs: Arc::clone(&runs),
            spoils,
        };
        thread::spawn(move || {
            replica::serve(listener, id, move |received, writer| {
                desk.answer(received, writer)
            })
        });
    }
    store.put("op/config", &fleet::configuration());
    let daemon = Daemon::start(root, &store, 1);
    let next = Arc::new(AtomicU64::new(0));
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (next, answers) = (Arc::clone(&next), Arc::clone(&answers));
            let frontend = daemon.frontend;
            thread::spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= LOOKUPS {
                        return;
                    }
                    let id = format!("{:016x}", 0x9c41_0000_u64 + number);
                    let answer = look_up(frontend, &id);
                    answers.lock().unwrap().push((id, answer));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(100));
    let answers = answers.lock().unwrap().clone();
    let runs = runs.lock().unwrap().clone();
    judge(&answers, &runs, record)
}

fn look_up(frontend: SocketAddr, id: &str) -> Answer {
    let request = format!(
        "GET /hugo494/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\nX-Api-Key: {KEY}\r\n\r\n"
    );
    let patience = Patience {
        gap: Duration::from_millis(1500),
        total: Duration::from_millis(1500),
    };
    fleet::ask(frontend, request.as_bytes(), patience, &|_| false)
}

/// A replica of the order desk.
struct Desk {
    answers: AtomicU64,
    /// Connections on which an additional answer is due, by the caller's address.
    extra_due: Mutex<Vec<SocketAddr>>,
    id: String,
    record: Record,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    spoils: bool,
}

impl Desk {
    fn answer(&self, received: &Received, writer: &mut TcpStream) -> bool {
        let id = received.id();
        let caller = writer.peer_addr().ok();
        let is_due = {
            let mut due = self.extra_due.lock().unwrap();
            let before = due.len();
            due.retain(|address| Some(*address) != caller);
            due.len() < before
        };
        if is_due {
            self.record.line(format!(
                "replica {}: the additional answer comes where that to {id} is expected",
                self.id
            ));
            let _ = writer.write_all(EXTRA);
        }
        self.record.line(format!("replica {} runs {id}", self.id));
        *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        thread::sleep(WORK);
        let body = format!("{{\"stock\":\"{id}\"}}");
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.{id}\r\nInstance-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let count = self.answers.fetch_add(1, Ordering::Relaxed);
        let adds = self.spoils && count % 100 < EXTRA_PER_100;
        if let Some(caller) = caller.filter(|_| adds) {
            self.extra_due.lock().unwrap().push(caller);
        }
        writer.write_all(text.as_bytes()).is_ok()
    }
}

fn judge(answers: &[(String, Answer)], runs: &BTreeMap<String, u32>, record: &Record) -> i32 {
    let (mut served, mut denied, mut denied_ran) = (0, 0, 0);
    for (id, answer) in answers {
        let ran = runs.get(id).copied().unwrap_or(0);
        record.line(format!(
            "client got {id}: {:?}, signed {}, runs {ran}",
            answer.head.first,
            answer.is_signed()
        ));
        let status = answer.status();
        served += u64::from(status == 200 && answer.is_signed());
        let is_own = !answer.is_signed() && (300..500).contains(&status);
        if is_own && ![408, 421, 429].contains(&status) {
            denied += 1;
            denied_ran += u64::from(ran > 0);
            record.say(format!(
                "{id}: {:?} without a signature, and it ran {ran} times",
                answer.head.first
            ));
        }
    }
    record.say(format!(
        "{} lookups, {served} served, {denied} ended with a 4xx that no replica gave to them, {denied_ran} of these ran; {DENIED_MAX} are allowed",
        answers.len()
    ));
    if served < LOOKUPS / 2 {
        record.say("too few lookups were served to judge");
        return 2;
    }
    if denied > DENIED_MAX {
        record.say("DENIED: proper requests were ended with a 4xx");
        return 1;
    }
    0
}
