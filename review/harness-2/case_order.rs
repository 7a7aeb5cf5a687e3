//! A replica spoils one byte in the id of an event, in an answer that may be resumed.
//!
//! Replicas write three events at a time, as an engine does that makes several pieces in one step.
//! The spoilt event is the last of such a write.

use crate::{
    fleet::{self, Daemon, Entry, Record, Registry},
    replica::{self, Received},
    store::Store,
    wire::{self, Answer, Patience},
};
use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Events of each stream, and of each write of a replica.
const EVENTS: u64 = 12;
const EVENTS_PER_WRITE: u64 = 3;

/// Time between two writes of a replica.
const WRITE_PAUSE: Duration = Duration::from_millis(40);

/// Half of the replicas spoil one of 50 answers.
const REPLICAS: usize = 4;
const SPOILING: usize = 2;
const SPOILT_EACH: u64 = 50;

/// The event whose id is spoilt.
const SPOILT_EVENT: u64 = 6;

const STREAMS: u64 = 400;
const CLIENTS: u64 = 20;

pub fn run(root: &Path, record: &Record) -> i32 {
    let store = Store::start();
    let registry = Registry::start(&store);
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for number in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a replica");
        let id = format!("i-{number:04x}");
        registry.add(Entry {
            id: id.clone(),
            service: "huvo11a",
            address: listener.local_addr().unwrap(),
            slots: 64,
            born: fleet::unix_ms(),
        });
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        let answers = AtomicU64::new(0);
        let spoils = number < SPOILING && fleet::has_trouble();
        thread::spawn(move || {
            replica::serve(listener, id.clone(), move |received, writer| {
                let count = answers.fetch_add(1, Ordering::Relaxed);
                let is_spoilt = spoils
                    && count % SPOILT_EACH == SPOILT_EACH / 2
                    && received.last_event().is_none();
                runs.lock().unwrap().push(received.id());
                answer(&id, received, writer, is_spoilt, &record)
            });
        });
    }
    store.put("op/config", &fleet::configuration());
    let daemon = Daemon::start(root, &store, 1);
    let next = Arc::new(AtomicU64::new(0));
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (next, answers, record) = (Arc::clone(&next), Arc::clone(&answers), record.clone());
            let frontend = daemon.frontend;
            thread::spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= STREAMS {
                        return;
                    }
                    let id = format!("{:016x}", 0x9c41_0000_u64 + number);
                    let prompt = format!(
                        "5c1e07a2:800,{:x}:410,{:x}:250",
                        number % 16,
                        0x10_0000 + number
                    );
                    let request = fleet::stream_request(&id, &prompt, 12_000);
                    let patience = Patience {
                        gap: Duration::from_millis(3200),
                        total: Duration::from_secs(12),
                    };
                    record.line(format!("client sends {id}"));
                    let answer = fleet::ask(frontend, &request, patience, &|_| false);
                    answers.lock().unwrap().push((id, answer));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap().clone();
    judge(&answers, record)
}

/// Writes a stream from the event after the one that the request names.
fn answer(
    replica: &str,
    received: &Received,
    writer: &mut TcpStream,
    is_spoilt: bool,
    record: &Record,
) -> bool {
    let id = received.id();
    let last = received.last_event();
    record.line(format!("replica {replica} runs {id} after event {last:?}"));
    if writer.write_all(&replica::stream_head(&id)).is_err() {
        return false;
    }
    let mut number = last.unwrap_or(0) + 1;
    while number <= EVENTS {
        let mut piece = String::new();
        let end = (number + EVENTS_PER_WRITE - 1).min(EVENTS);
        for number in number..=end {
            let event = replica::event(number, &id);
            if is_spoilt && number == SPOILT_EVENT {
                record.line(format!(
                    "replica {replica} spoils the id of event {number} of {id}"
                ));
                piece += &event.replacen(&format!("id: {number}"), "id: 0", 1);
            } else {
                piece += &event;
            }
        }
        number = end + 1;
        if writer.write_all(&wire::chunk(piece.as_bytes())).is_err() {
            record.line(format!(
                "replica {replica} ends {id}: its connection is closed"
            ));
            return false;
        }
        thread::sleep(WRITE_PAUSE);
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}

/// Checks the streams that clients got: no piece may be missing before a later one.
fn judge(answers: &[(String, Answer)], record: &Record) -> i32 {
    let (mut served, mut whole, mut broken) = (0, 0, 0);
    for (id, answer) in answers {
        let ids: Vec<u64> = answer
            .events()
            .iter()
            .map(|(id, _)| id.unwrap_or(0))
            .collect();
        record.line(format!(
            "client got {id}: status {}, signed {}, complete {}, events {ids:?}",
            answer.status(),
            answer.is_signed(),
            answer.complete
        ));
        if answer.status() != 200 {
            continue;
        }
        served += 1;
        whole += u32::from(answer.complete && ids.len() as u64 == EVENTS);
        let last = ids.iter().max().copied().unwrap_or(0);
        // A spoilt event that was passed on as the replica wrote it isn't held against the system.
        let spoilt = ids.iter().filter(|id| **id == 0).count();
        let missing: Vec<u64> = (1..=last).filter(|number| !ids.contains(number)).collect();
        let ends_early = answer.complete && last < EVENTS;
        let comes_twice =
            (1..=last).any(|number| ids.iter().filter(|id| **id == number).count() > 1);
        if missing.len() > spoilt || ends_early || comes_twice {
            broken += 1;
            record.say(format!(
                "ORDER: {id}: events {ids:?}, complete {}: missing {missing:?}",
                answer.complete
            ));
        }
    }
    record.say(format!(
        "{} streams, {served} begun, {whole} whole, {broken} with a missing piece",
        answers.len()
    ));
    if served < STREAMS * 9 / 10 {
        record.say("too few streams were served to judge");
        return 2;
    }
    i32::from(broken > 0)
}
