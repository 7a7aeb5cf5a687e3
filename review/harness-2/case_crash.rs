//! Requests with one prompt part crash each replica that begins to write an answer to them. The answers
//! have neither a length nor chunks and end with their connections.
//!
//! Each replica is a process of its own, which ends itself; it is back three seconds later under the
//! id that it had.

use crate::{
    fleet::{self, Daemon, Entry, Record, Registry},
    replica::{self, Received},
    store::Store,
    wire::{self, Patience},
};
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const REPLICAS: u64 = 6;
const SLOTS: u64 = 64;

/// Sound streams at a time.
const SOUND: u64 = 24;

/// Events of a sound stream and the time between them.
const EVENTS: u64 = 16;
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// Time from a request to the first event of its answer.
const PREFILL: Duration = Duration::from_millis(60);

/// Time for which a crashed replica is down.
const DOWN: Duration = Duration::from_secs(3);

/// Time between two requests with the part that crashes replicas.
const POISON_PAUSE: Duration = Duration::from_millis(2000);

/// Hash of that part.
const POISON: &str = "bad0bad0";

/// Length of the whole case, and the moment of the first request with the part.
const LENGTH: Duration = Duration::from_secs(60);
const POISON_FROM: Duration = Duration::from_secs(5);

/// The rule: `contactMs`, the crash after which it holds, and the requests that it allows.
const CONTACT: Duration = Duration::from_millis(3000);
const CRASHES: usize = 5;
const REQUESTS_MAX: usize = 3;

/// Runs a replica: `cases replica ID ADDRESS`. It crashes on the part unless TROUBLE is 0.
pub fn run_replica(id: &str, address: &str) -> i32 {
    let Ok(listener) = TcpListener::bind(address) else {
        return 2;
    };
    println!("listening {}", listener.local_addr().unwrap());
    let crashes = fleet::has_trouble();
    replica::serve(listener, id.to_owned(), move |received, writer| {
        write_stream(received, writer, crashes);
        false
    });
    0
}

fn write_stream(received: &Received, writer: &mut TcpStream, crashes: bool) {
    let id = received.id();
    let prompt = received.head.field("prefix-hash").unwrap_or("");
    let is_poison = prompt.contains(POISON);
    println!("run {id} {}", if is_poison { "poison" } else { "sound" });
    thread::sleep(PREFILL);
    let from = received.last_event().unwrap_or(0) + 1;
    let mut bytes = replica::open_head(&id);
    for number in from..=EVENTS {
        bytes.extend(replica::event(number, &id).into_bytes());
        if writer.write_all(&bytes).is_err() {
            return;
        }
        bytes.clear();
        if is_poison && crashes {
            println!("crash {id}");
            std::process::abort();
        }
        thread::sleep(EVENT_PAUSE);
    }
}

/// What the replicas said, with the time.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    poison: Vec<Instant>,
}

pub fn run(root: &Path, record: &Record) -> i32 {
    let store = Store::start();
    let registry = Registry::start(&store);
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    for number in 0..REPLICAS {
        let keeper = Keeper {
            id: format!("i-{number:04x}"),
            registry: registry.clone(),
            seen: Arc::clone(&seen),
            is_over: Arc::clone(&is_over),
            record: record.clone(),
        };
        thread::spawn(move || keeper.keep());
    }
    thread::sleep(Duration::from_millis(500));
    store.put("op/config", &fleet::configuration());
    let daemon = Daemon::start(root, &store, 1);
    let began = Instant::now();
    let (sent, whole) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let sound: Vec<_> = (0..SOUND)
        .map(|client| {
            let (sent, whole, record) = (Arc::clone(&sent), Arc::clone(&whole), record.clone());
            let frontend = daemon.frontend;
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(client * 3500 / SOUND));
                while began.elapsed() < LENGTH {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let id = format!("50{number:014x}");
                    let prompt = format!(
                        "5c1e07a2:800,{:x}:410,{:x}:250",
                        client % 96,
                        0x10_0000 + number
                    );
                    let answer = send(frontend, &id, &prompt);
                    whole.fetch_add(
                        u64::from(answer.complete && answer.status() == 200),
                        Ordering::Relaxed,
                    );
                    record.line(format!(
                        "client got {id}: status {}, complete {}, events {}",
                        answer.status(),
                        answer.complete,
                        answer.events().len()
                    ));
                    if answer.status() != 200 {
                        thread::sleep(Duration::from_millis(500));
                    }
                }
            })
        })
        .collect();
    thread::sleep(POISON_FROM);
    let mut number = 0_u64;
    while began.elapsed() < LENGTH {
        let id = format!("bad{number:013x}");
        let prompt = format!("5c1e07a2:800,{POISON}:410,{:x}:250", 0x90_0000 + number);
        number += 1;
        let (frontend, record) = (daemon.frontend, record.clone());
        thread::spawn(move || {
            record.line(format!("client sends {id} with the part {POISON}"));
            let answer = send(frontend, &id, &prompt);
            record.line(format!("client got {id}: status {}", answer.status()));
        });
        thread::sleep(POISON_PAUSE);
    }
    for client in sound {
        let _ = client.join();
    }
    is_over.store(true, Ordering::Relaxed);
    let (sent, whole) = (sent.load(Ordering::Relaxed), whole.load(Ordering::Relaxed));
    record.say(format!("{sent} sound streams sent, {whole} answered whole"));
    judge(&seen.lock().unwrap(), record)
}

fn send(frontend: SocketAddr, id: &str, prompt: &str) -> wire::Answer {
    let request = fleet::stream_request(id, prompt, 12_000);
    let patience = Patience {
        gap: Duration::from_millis(3200),
        total: Duration::from_secs(12),
    };
    fleet::ask(frontend, &request, patience, &|_| false)
}

/// Starts a replica anew whenever its process has ended.
struct Keeper {
    id: String,
    registry: Registry,
    seen: Arc<Mutex<Seen>>,
    is_over: Arc<AtomicBool>,
    record: Record,
}

impl Keeper {
    fn keep(&self) {
        let mut address = "127.0.0.1:0".to_owned();
        let program = std::env::current_exe().expect("this program");
        while !self.is_over.load(Ordering::Relaxed) {
            let child = fleet::spawn(
                Command::new(&program)
                    .args(["replica", &self.id, &address])
                    .stdin(Stdio::piped())
                    .stdout(Stdio::piped())
                    .stderr(Stdio::null()),
            );
            let Ok(mut child) = child else {
                return;
            };
            let born = fleet::unix_ms();
            let output = child.stdout.take().expect("its output");
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                self.read(&line, &mut address, born);
            }
            fleet::end(&mut child);
            self.registry.crashed(&self.id);
            thread::sleep(DOWN);
        }
    }

    fn read(&self, line: &str, address: &mut String, born: u64) {
        self.record.line(format!("replica {}: {line}", self.id));
        let now = Instant::now();
        let mut words = line.split(' ');
        match (words.next(), words.nth(1)) {
            (Some("listening"), _) => {
                *address = line.rsplit(' ').next().unwrap_or("").to_owned();
                self.registry.add(Entry {
                    id: self.id.clone(),
                    service: "huvo11a",
                    address: address.parse().expect("an address"),
                    slots: SLOTS as u32,
                    born,
                });
            }
            (Some("run"), Some("poison")) => self.seen.lock().unwrap().poison.push(now),
            (Some("crash"), _) => self.seen.lock().unwrap().crashes.push(now),
            _ => {}
        }
    }
}

fn judge(seen: &Seen, record: &Record) -> i32 {
    record.say(format!(
        "{} requests with the part reached replicas, {} crashes",
        seen.poison.len(),
        seen.crashes.len()
    ));
    let Some(fifth) = seen.crashes.get(CRASHES - 1) else {
        record.say("fewer than five crashes: the rule holds");
        return 0;
    };
    let late = seen.poison.iter().filter(|at| **at > *fifth + CONTACT);
    let late = late.count();
    record.say(format!(
        "{late} of them later than contactMs after the fifth crash; {REQUESTS_MAX} are allowed"
    ));
    if late > REQUESTS_MAX {
        record.say("BUDGET: requests with the part still reach replicas");
        return 1;
    }
    0
}
