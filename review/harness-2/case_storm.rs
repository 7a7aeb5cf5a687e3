//! Long configurations come in quick succession while a machine's link carries 10 Mbit/s, and a replica
//! leaves meanwhile.

use crate::{
    fleet::{self, Daemon, Entry, HOST, KEY, Record, Registry, TENANT},
    replica,
    store::Store,
    wire::{Answer, Patience},
};
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Speed of the machine's link, in bytes a second: 10 Mbit/s.
const LINK_BYTES: f64 = 1_250_000.0;

/// Routes of each configuration: 240, and 1,400 more.
const ROUTES: u64 = 1_640;

/// A change each 0.19 s for 4 s.
const CHANGES: u64 = 21;
const CHANGE_PAUSE: Duration = Duration::from_millis(190);

/// Moment after the first change at which a replica reports that it drains, and the time for which it
/// serves after that.
const LEAVES_AT: Duration = Duration::from_millis(3800);
const SERVES: Duration = Duration::from_millis(8000);

/// The rules: `drainMs` and `configApplyMs`.
const DRAIN: Duration = Duration::from_millis(3000);
const APPLY: Duration = Duration::from_millis(3000);

/// The clients' time between two lookups, and the length of the case after the first change.
const LOOKUP_PAUSE: Duration = Duration::from_millis(20);
const LENGTH: Duration = Duration::from_secs(14);

const REPLICAS: u64 = 4;

pub fn run(root: &Path, record: &Record) -> i32 {
    let store = Store::start();
    let registry = Registry::start(&store);
    let arrivals: Arc<Mutex<Vec<(u64, Instant)>>> = Arc::default();
    let mut addresses = Vec::new();
    for number in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a replica");
        let id = format!("i-{number:04x}");
        let address = listener.local_addr().unwrap();
        addresses.push(address);
        registry.add(entry(number, address));
        let (record, arrivals) = (record.clone(), Arc::clone(&arrivals));
        thread::spawn(move || {
            replica::serve(listener, id, move |received, writer| {
                let id = received.id();
                arrivals.lock().unwrap().push((number, Instant::now()));
                record.line(format!("replica i-{number:04x} runs {id}"));
                let body = format!("{{\"stock\":\"{id}\"}}");
                let text = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: 3e1b.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(text.as_bytes()).is_ok()
            });
        });
    }
    store.put("op/config", &configuration(7, None));
    let link = Link::start(store.address);
    let daemon = Daemon::start_with(root, link, 1, &fleet::GROWN);
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let answers: Arc<Mutex<Vec<(Instant, bool, Answer)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..2_u64)
        .map(|client| {
            let (answers, is_over) = (Arc::clone(&answers), Arc::clone(&is_over));
            let frontend = daemon.frontend;
            thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let is_new = client == 1;
                    let id = format!("{:016x}", 0x9c41_0000_u64 + client * 0x1_0000 + number);
                    let sent = Instant::now();
                    let answer =
                        look_up(frontend, &id, if is_new { "/new000" } else { "/hugo494" });
                    answers.lock().unwrap().push((sent, is_new, answer));
                    thread::sleep(LOOKUP_PAUSE);
                }
            })
        })
        .collect();
    let changes = if fleet::has_trouble() { CHANGES } else { 1 };
    let leaving = {
        let (store, registry, record) = (store.clone(), registry.clone(), record.clone());
        let address = addresses[0];
        thread::spawn(move || {
            thread::sleep(LEAVES_AT);
            registry.crashed("i-0000");
            let acked = Instant::now();
            store.put("servers/i-0000", &draining(address));
            record.line("replica i-0000 reports that it drains; the store has accepted it");
            thread::sleep(SERVES);
            acked
        })
    };
    let mut last_acked = began;
    for change in 0..changes {
        let is_last = change + 1 == changes;
        store.put(
            "op/config",
            &configuration(8 + change, is_last.then_some("/new000/")),
        );
        last_acked = Instant::now();
        record.line(format!("the store has accepted version {}", 8 + change));
        let next = began + CHANGE_PAUSE * (change as u32 + 1);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    thread::sleep((began + LENGTH).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let left = leaving.join().expect("the moment of the report");
    let late = arrivals.lock().unwrap().clone();
    let late = late
        .iter()
        .filter(|(number, at)| *number == 0 && *at > left + DRAIN);
    let late: Vec<Duration> = late.map(|(_, at)| *at - left).collect();
    let answers = answers.lock().unwrap();
    let old: Vec<Duration> = answers
        .iter()
        .filter(|(sent, is_new, answer)| {
            *is_new && *sent > last_acked + APPLY && answer.status() == 404 && !answer.is_signed()
        })
        .map(|(sent, ..)| *sent - last_acked)
        .collect();
    for (sent, is_new, answer) in answers.iter() {
        record.line(format!(
            "client: sent {:.3} s after the first change, new route {is_new}: {:?}",
            sent.saturating_duration_since(began).as_secs_f64(),
            answer.head.first
        ));
    }
    record.say(format!(
        "{} requests reached the leaving replica later than drainMs after its report, the last {:?} after it",
        late.len(),
        late.last()
    ));
    record.say(format!(
        "{} requests on a route of the last version were refused with 404 later than configApplyMs after its acknowledgement, the last {:?} after it",
        old.len(),
        old.last()
    ));
    let served = answers
        .iter()
        .filter(|(_, _, answer)| answer.status() == 200)
        .count();
    if served < 100 {
        record.say("too few requests were served to judge");
        return 2;
    }
    if !late.is_empty() {
        record.say("DRAIN: the machine, in touch, sends requests to a replica that has left");
        return 1;
    }
    if !old.is_empty() {
        record.say("CONFIG: the machine, in touch, acts on an old version");
        return 1;
    }
    0
}

fn entry(number: u64, address: SocketAddr) -> Entry {
    Entry {
        id: format!("i-{number:04x}"),
        service: "wuno96b",
        address,
        slots: 6,
        born: fleet::unix_ms(),
    }
}

/// The entry of a replica that drains.
fn draining(address: SocketAddr) -> String {
    format!(
        "{{\"service\":\"wuno96b\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"draining\",\"coldRemainingMs\":0,\"sequence\":99,\"born\":{}}}",
        fleet::unix_ms()
    )
}

/// A configuration of 1,640 routes, and one more if `added` names its prefix.
fn configuration(version: u64, added: Option<&str>) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"type\":\"idempotent\",\"timeoutMs\":1500,\"latencyTargetMs\":120,\"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let mut routes = vec![route("r-look", "/hugo494/")];
    routes.extend(
        (1..ROUTES).map(|number| route(&format!("r-idle{number}"), &format!("/idle{number}/"))),
    );
    routes.extend(added.map(|prefix| route("r-new", prefix)));
    let limits = r#"{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\",\"maxConns\":550,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{limits},\"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

fn look_up(frontend: SocketAddr, id: &str, path: &str) -> Answer {
    let request = format!(
        "GET {path}/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\nX-Api-Key: {KEY}\r\n\r\n"
    );
    let patience = Patience {
        gap: Duration::from_millis(1500),
        total: Duration::from_millis(1500),
    };
    fleet::ask(frontend, request.as_bytes(), patience, &|_| false)
}

/// The machine's link to the store: a proxy that delays what the store sends to the link's speed.
struct Link;

impl Link {
    fn start(store: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the link");
        let address = listener.local_addr().unwrap();
        let free_at = Arc::new(Mutex::new(Instant::now()));
        thread::spawn(move || {
            for inner in listener.incoming().flatten() {
                let Ok(outer) = TcpStream::connect(store) else {
                    continue;
                };
                let _ = (inner.set_nodelay(true), outer.set_nodelay(true));
                let (Ok(inner_read), Ok(outer_read)) = (inner.try_clone(), outer.try_clone())
                else {
                    continue;
                };
                thread::spawn(move || copy(inner_read, outer, |_| {}));
                let free_at = Arc::clone(&free_at);
                thread::spawn(move || copy(outer_read, inner, move |count| pass(&free_at, count)));
            }
        });
        address
    }
}

/// Waits until the link has carried `count` bytes more; connections share it.
fn pass(free_at: &Mutex<Instant>, count: usize) {
    let until = {
        let mut free_at = free_at.lock().unwrap();
        let time = Duration::from_secs_f64(count as f64 / LINK_BYTES);
        *free_at = (*free_at).max(Instant::now()) + time;
        *free_at
    };
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

fn copy(mut from: TcpStream, mut to: TcpStream, pace: impl Fn(usize)) {
    let mut bytes = [0; 8 * 1024];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 {
            break;
        }
        pace(count);
        if to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
