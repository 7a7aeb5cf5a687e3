//! Requests with one part of a prompt crash each replica that begins to write their answer.

use {
    crate::{
        client::Attempt,
        record::{now, record, tell},
        replica::Replica,
        site::{MODEL, Site, ZONE, kill_child, start_child, unix_ms},
    },
    std::{
        io::{BufRead, BufReader},
        net::{SocketAddr, TcpListener},
        process::{Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// What a case varies.
struct Plan {
    daemons: usize,
    /// Events after which a replica ends on the part.
    events: u64,
    /// Parts of the prompt before the one that crashes replicas.
    parts_before: usize,
    replicas: usize,
    /// Whether the replicas end on the part only after a release.
    after_release: bool,
}

impl Plan {
    fn read(words: &[&str]) -> Plan {
        let plan = Plan {
            daemons: 2,
            events: 0,
            parts_before: 1,
            replicas: 8,
            after_release: false,
        };
        match words {
            ["first-event"] => Plan { events: 1, ..plan },
            ["release"] => Plan {
                after_release: true,
                ..plan
            },
            ["tenth-part"] => Plan {
                parts_before: 9,
                ..plan
            },
            _ => plan,
        }
    }
}

/// The part that crashes replicas.
const PART: &str = "dead:300";

/// More events than a stream has: a replica that ends after them never ends.
const SOUND: &str = "100";

/// When the first replica is replaced, and the pause until the next one.
const RELEASE_AT: Duration = Duration::from_secs(8);
const RELEASE_GAP: Duration = Duration::from_millis(700);

/// `drainMs` and a little longer, for which a draining replica serves.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time from a crash until the replica is back.
const DOWN: Duration = Duration::from_secs(3);

/// `contactMs` in seconds.
const CONTACT_S: f64 = 3.0;

const TRAFFIC: Duration = Duration::from_secs(40);

/// Requests with the part that may reach replicas after the bound.
const SENT_MAX: usize = 3;

/// A replica as a process of its own: `ADDRESS ID BORN EVENTS`.
///
/// It ends itself after it has written EVENTS events of an answer on the part.
pub fn run_replica(words: &[&str]) {
    let [address, id, born, events] = words else {
        eprintln!("usage: harness replica ADDRESS ID BORN EVENTS");
        std::process::exit(2);
    };
    let address: SocketAddr = address.parse().expect("an address");
    let events: u64 = events.parse().expect("a number");
    let listener = TcpListener::bind(address).expect("the address is free");
    let replica = Replica {
        address,
        born: born.parse().expect("a number"),
        id: (*id).to_owned(),
        service: MODEL,
        slots: 64,
        zone: ZONE,
    };
    record("listening");
    replica.serve(
        listener,
        Arc::new(move |call| {
            call.run();
            let prompt = call.request.header("prefix-hash").unwrap_or("").to_owned();
            thread::sleep(Duration::from_millis(20));
            let first = call.first_event();
            call.begin_stream()?;
            if prompt.contains(PART) && events < 100 {
                for number in first..first + events {
                    call.event(number)?;
                }
                record(&format!(
                    "replica {} crashes on {}",
                    call.replica.id,
                    call.id()
                ));
                std::process::exit(1);
            }
            call.finish_stream(first, 12, Duration::from_millis(20))
        }),
    );
}

/// What the replicas print.
#[derive(Default)]
struct Seen {
    crashes: Vec<f64>,
    /// Times at which requests with the part reached replicas.
    sent: Vec<f64>,
}

/// Runs one replica after the other at an address; at `release`, the first one drains and leaves.
fn keep_replica(
    site: Arc<Site>,
    number: usize,
    events: String,
    seen: Arc<Mutex<Seen>>,
    done: Arc<AtomicBool>,
    release: Option<Duration>,
) {
    let address = site.free_address(100 + number);
    for start in 0.. {
        let (born, id) = (unix_ms(), format!("i-{number}-{start}"));
        let program = std::env::current_exe().expect("the program's path");
        let mut command = Command::new(program);
        let command = command
            .args([
                "replica",
                &address.to_string(),
                &id,
                &born.to_string(),
                &events,
            ])
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        let (pid, output) = start_child(command);
        let output = output.expect("its output");
        let replica = Replica {
            address,
            born,
            id,
            service: MODEL,
            slots: 64,
            zone: ZONE,
        };
        let is_up = Arc::new(AtomicBool::new(true));
        if let Some(at) = release {
            let (site, replica, is_up) = (Arc::clone(&site), replica.clone(), Arc::clone(&is_up));
            thread::spawn(move || {
                thread::sleep(at.saturating_sub(Duration::from_secs_f64(now())));
                is_up.store(false, Ordering::Relaxed);
                record(&format!("replica {} drains", replica.id));
                site.store
                    .put(&replica.key(), &replica.entry("draining", 99));
                thread::sleep(DRAIN);
                site.store.remove(&replica.key());
                record(&format!("replica {} has left", replica.id));
                kill_child(pid);
            });
        }
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            record(&line);
            if line == "listening" {
                let (site, replica, is_up) =
                    (Arc::clone(&site), replica.clone(), Arc::clone(&is_up));
                thread::spawn(move || {
                    let mut sequence = 0;
                    while is_up.load(Ordering::Relaxed) {
                        sequence += 1;
                        site.store
                            .put(&replica.key(), &replica.entry("ready", sequence));
                        thread::sleep(Duration::from_millis(1_200));
                    }
                });
            }
            let mut seen = seen.lock().unwrap();
            if line.contains(" runs t") {
                seen.sent.push(now());
            }
            if line.contains(" crashes ") {
                seen.crashes.push(now());
            }
        }
        is_up.store(false, Ordering::Relaxed);
        if done.load(Ordering::Relaxed) || release.is_some() {
            return;
        }
        thread::sleep(DOWN);
        site.store.remove(&replica.key());
    }
}

fn stream(id: &str, prompt: &str) -> Attempt {
    Attempt {
        body: b"how do I care for my strop".to_vec(),
        deadline_ms: 12_000,
        id: id.to_owned(),
        method: "POST",
        path: "/guide/2f".to_owned(),
        tenant: 0,
        more: format!("Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: {prompt}\r\n"),
    }
}

/// `first-event`: the replica ends after the first event. `tenth-part`: it ends after the head of the
/// answer, and the part is the tenth of the prompt.
pub fn run(words: &[&str]) -> bool {
    let plan = Arc::new(Plan::read(words));
    let site = Arc::new(Site::start(plan.daemons));
    let before: Vec<String> = (0..plan.parts_before)
        .map(|part| format!("{:x}:80", 0x5c1e + part))
        .collect();
    let before = before.join(",");
    let events = if site.trouble() {
        plan.events.to_string()
    } else {
        SOUND.to_owned()
    };
    let (seen, done) = (
        Arc::new(Mutex::new(Seen::default())),
        Arc::new(AtomicBool::new(false)),
    );
    let plan_replicas = plan.replicas;
    for number in 0..plan.replicas {
        let (site, events, seen, done) = (
            Arc::clone(&site),
            events.clone(),
            Arc::clone(&seen),
            Arc::clone(&done),
        );
        if !plan.after_release {
            thread::spawn(move || keep_replica(site, number, events, seen, done, None));
            continue;
        }
        let release = RELEASE_AT + RELEASE_GAP * number as u32;
        let (old_site, old_seen, old_done) =
            (Arc::clone(&site), Arc::clone(&seen), Arc::clone(&done));
        let sound = SOUND.to_owned();
        thread::spawn(move || {
            keep_replica(old_site, number, sound, old_seen, old_done, Some(release));
        });
        thread::spawn(move || {
            // The new replica starts first.
            let start = release.saturating_sub(RELEASE_GAP);
            thread::sleep(start.saturating_sub(Duration::from_secs_f64(now())));
            keep_replica(site, number + plan_replicas, events, seen, done, None);
        });
    }
    thread::sleep(Duration::from_secs(3));
    let mut clients = Vec::new();
    for (name, per_s) in [("s", 15), ("t", 3)] {
        let (site, before, plan) = (Arc::clone(&site), before.clone(), Arc::clone(&plan));
        clients.push(thread::spawn(move || {
            let pause = Duration::from_secs(1) / per_s;
            let count = TRAFFIC.as_millis() / pause.as_millis();
            let mut open = Vec::new();
            for number in 0..count {
                thread::sleep(pause);
                let id = format!("{name}{number}");
                let own = format!("{:x}:250", 0x10_0000 + number * 2 + u128::from(name == "t"));
                let thing = 0x9000 + number % 12;
                let prompt = match name {
                    "t" => format!("{before},{PART},{own}"),
                    _ => format!("{before},{thing:x}:410,{own}"),
                };
                let daemon = site.daemons[number as usize % plan.daemons];
                let attempt = stream(&id, &prompt);
                open.push(thread::spawn(move || {
                    record(&format!("client sends {id} to {daemon}"));
                    let answer = attempt.send(daemon);
                    let status = answer.as_ref().map_or(0, |answer| answer.status());
                    let whole = answer.is_some_and(|answer| answer.whole);
                    record(&format!("client gets {status} for {id}, whole: {whole}"));
                }));
            }
            for thread in open {
                let _ = thread.join();
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    done.store(true, Ordering::Relaxed);
    let reports = site.store.values("crash-reports/").len();
    let seen = seen.lock().unwrap();
    tell(&format!(
        "{} crashes; {reports} crash reports in the store",
        seen.crashes.len()
    ));
    let Some(fifth) = seen.crashes.get(4) else {
        tell("fewer than five crashes");
        return false;
    };
    let late = seen
        .sent
        .iter()
        .filter(|at| **at > fifth + CONTACT_S)
        .count();
    let late_crashes = seen
        .crashes
        .iter()
        .filter(|at| **at > fifth + CONTACT_S)
        .count();
    tell(&format!(
        "the fifth crash was at {fifth:.3} s; later than {:.3} s, {late} requests with the part reached replicas, where {SENT_MAX} may, and {late_crashes} replicas crashed",
        fifth + CONTACT_S
    ));
    late > SENT_MAX
}
