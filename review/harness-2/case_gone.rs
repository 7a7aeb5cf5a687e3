//! A replica crashes while it answers streams that may be resumed. They go on at other replicas, which
//! read the long prompts again beside the prompts of others, and their clients leave meanwhile.

use crate::{
    fleet::{self, Daemon, Entry, Record, Registry},
    replica::{self, Received},
    store::Store,
    wire::{self, Patience},
};
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// One of six replicas crashes.
const REPLICAS: u64 = 6;

const STREAMS: u64 = 240;

/// Events of a stream and the time between them.
const EVENTS: u64 = 50;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Time until the first event where the prompt is cached, and where it is read beside others.
const CACHED: Duration = Duration::from_millis(100);
const READ_AGAIN: Duration = Duration::from_millis(4500);

/// Longest gap after which a client leaves: two seconds, four times the objective of 800 ms or eight
/// times the pause of 400 ms, whichever is longest.
const GAP: Duration = Duration::from_millis(3200);

/// Moment of the crash after the first stream.
const CRASH_AT: Duration = Duration::from_millis(2500);

/// The rule: the time after the client has left, and the share of requests.
const LATER: Duration = Duration::from_millis(500);

/// Fewest streams whose clients left, so that the share says something.
const LEFT_MIN: usize = 8;

/// Runs a replica: `cases reader ID ADDRESS`.
pub fn run_replica(id: &str, address: &str) -> i32 {
    let Ok(listener) = TcpListener::bind(address) else {
        return 2;
    };
    println!("listening {}", listener.local_addr().unwrap());
    replica::serve(listener, id.to_owned(), write_stream);
    0
}

fn write_stream(received: &Received, writer: &mut TcpStream) -> bool {
    let id = received.id();
    let last = received.last_event();
    println!("begins {id}");
    let prefill = if last.is_some() { READ_AGAIN } else { CACHED };
    let end = Instant::now() + prefill;
    while Instant::now() < end {
        if is_closed(writer) {
            println!("ends {id} closed while its prompt was read");
            return false;
        }
    }
    let mut bytes = replica::stream_head(&id);
    for number in last.unwrap_or(0) + 1..=EVENTS {
        bytes.extend(wire::chunk(replica::event(number, &id).as_bytes()));
        if writer.write_all(&bytes).is_err() || is_closed(writer) {
            println!("ends {id} closed at event {number}");
            return false;
        }
        bytes.clear();
        thread::sleep(EVENT_PAUSE);
    }
    println!("ends {id} whole");
    writer.write_all(b"0\r\n\r\n").is_ok()
}

/// Returns whether the caller has closed the connection, after a short wait.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_read_timeout(None);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => !matches!(
            error.kind(),
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        ),
    }
}

/// The work of replicas by request: begin and end of each run.
type Work = Arc<Mutex<BTreeMap<String, Vec<(Instant, Option<Instant>)>>>>;

pub fn run(root: &Path, record: &Record) -> i32 {
    let store = Store::start();
    let registry = Registry::start(&store);
    let work = Work::default();
    let mut children = Children(Vec::new());
    for number in 0..REPLICAS {
        let id = format!("i-{number:04x}");
        let program = std::env::current_exe().expect("this program");
        let mut child = fleet::spawn(
            Command::new(program)
                .args(["reader", &id, "127.0.0.1:0"])
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(Stdio::null()),
        )
        .expect("a replica");
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        children.0.push(child);
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = first
            .rsplit(' ')
            .next()
            .and_then(|address| address.parse().ok());
        registry.add(Entry {
            id: id.clone(),
            service: "huvo11a",
            address: address.expect("an address"),
            slots: 64,
            born: fleet::unix_ms(),
        });
        let (record, work) = (record.clone(), Arc::clone(&work));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(format!("replica {id} {line}"));
                note(&work, &line);
            }
            record.line(format!("replica {id} is gone"));
        });
    }
    store.put("op/config", &fleet::configuration());
    let daemon = Daemon::start(root, &store, 1);
    let began = Instant::now();
    let left: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (left, record) = (Arc::clone(&left), record.clone());
            let frontend = daemon.frontend;
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(number * 5));
                let id = format!("{:016x}", 0x9c41_0000_u64 + number);
                let prompt = format!(
                    "5c1e07a2:10512,{:x}:410,{:x}:890",
                    number % 24,
                    0x10_0000 + number
                );
                let request = fleet::stream_request(&id, &prompt, 12_000);
                let patience = Patience {
                    gap: GAP,
                    total: Duration::from_secs(12),
                };
                let answer = fleet::ask(frontend, &request, patience, &|_| false);
                if answer.left {
                    left.lock().unwrap().push((id.clone(), Instant::now()));
                }
                record.line(format!(
                    "client got {id}: status {}, complete {}, left {}, events {}",
                    answer.status(),
                    answer.complete,
                    answer.left,
                    answer.events().len()
                ));
            })
        })
        .collect();
    thread::sleep(CRASH_AT.saturating_sub(began.elapsed()));
    if fleet::has_trouble() {
        record.say("replica i-0000 crashes");
        fleet::end(&mut children.0[0]);
        registry.crashed("i-0000");
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(1500));
    let left = left.lock().unwrap().clone();
    judge(&left, &work, record)
}

struct Children(Vec<Child>);

impl Drop for Children {
    fn drop(&mut self) {
        for child in &mut self.0 {
            fleet::end(child);
        }
    }
}

fn note(work: &Work, line: &str) {
    let mut words = line.split(' ');
    let (kind, id) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let mut work = work.lock().unwrap();
    let runs = work.entry(id.to_owned()).or_default();
    match kind {
        "begins" => runs.push((Instant::now(), None)),
        "ends" => {
            if let Some(run) = runs.last_mut() {
                run.1 = Some(Instant::now());
            }
        }
        _ => {}
    }
}

fn judge(left: &[(String, Instant)], work: &Work, record: &Record) -> i32 {
    let work = work.lock().unwrap();
    let mut still = 0;
    for (id, at) in left {
        // The last run counts: the runs before it were at the replica that crashed.
        let Some((_, ended)) = work.get(id).and_then(|runs| runs.last()) else {
            continue;
        };
        let over = ended.map(|ended| ended.saturating_duration_since(*at));
        let is_still = over.is_none_or(|over| over > LATER);
        still += usize::from(is_still);
        record.line(format!(
            "{id}: its replica's work ended {over:?} after its client had left"
        ));
    }
    record.say(format!(
        "{} clients left their streams; replicas were still at work half a second later on {still}",
        left.len()
    ));
    if left.len() < LEFT_MIN {
        if fleet::has_trouble() {
            record.say("too few clients left to judge");
            return 2;
        }
        return 0;
    }
    if still * 4 > left.len() {
        record.say("GONE: replicas go on working for clients that have left");
        return 1;
    }
    0
}
