//! Case 11: replicas crash while chats with long prompts are open, and the daemons' evidence of the
//! crashes outgrows their memory.

use {
    review_harness_3::{
        client::{Client, request},
        daemon::{Daemon, Settings},
        process::{ReplicaProcess, serve_if_replica},
        replica::Call,
        site::{BROKEN, HELD, Place, any_port, configuration, free_ip, route, run_case, tenant},
        store::Store,
    },
    std::{
        fs, io,
        net::{IpAddr, SocketAddr},
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

const MACHINES: u8 = 6;

/// `memoryMb` of the settings in kB; the platform kills a process that exceeds it.
const MEMORY_KB: u64 = 260 * 1024;

/// Pause until the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);

const REPLICAS: usize = 16;

/// Replicas that crash at a time, a quarter of the service.
const CRASHED: usize = 4;

/// Time for which they are down.
const DOWN: Duration = Duration::from_secs(2);

/// Times at which replicas crash.
const ROUNDS: usize = 9;

const ROUND: Duration = Duration::from_millis(7_000);

/// Streams at each daemon in a round.
const STREAMS: usize = 160;

/// Parts of a chat's prompt.
const PARTS: usize = 200;

/// Events of a stream, and the pause between them.
const EVENTS: u64 = 20;
const EVENT_GAP: Duration = Duration::from_millis(200);

/// Ends of a machine's process by itself from which on the machine counts.
const ENDS_MIN: usize = 3;

/// Machines that count from which on the day has a fault: a tenth, two at least.
const MACHINES_MIN: usize = 2;

fn main() {
    serve_if_replica(stream);
    run_case(run)
}

fn stream(call: &mut Call) -> io::Result<bool> {
    call.begin_stream()?;
    for number in 1..=EVENTS {
        sleep(EVENT_GAP);
        call.write_event(number, "piece")?;
    }
    call.end_stream()?;
    Ok(true)
}

/// A machine whose daemon the platform kills when it exceeds its memory, and starts again.
struct Machine {
    daemon: Mutex<Daemon>,
    ends: Mutex<usize>,
    front: SocketAddr,
    settings: Settings,
}

impl Machine {
    fn start(place: &Place, number: u8, store: &Store) -> io::Result<Self> {
        let zone = if number.is_multiple_of(2) {
            "zone-a"
        } else {
            "zone-b"
        };
        let name = format!("edge-{zone}-{number}");
        let settings = Settings::new(&name, free_ip(number + 1), zone, store.address);
        let daemon = Daemon::start(&place.repository, &place.scratch, &settings)?;
        daemon.wait_ready()?;
        Ok(Self {
            front: daemon.front,
            daemon: Mutex::new(daemon),
            ends: Mutex::default(),
            settings,
        })
    }

    /// Returns the memory of the process in kB.
    fn memory(&self) -> u64 {
        let process = self
            .daemon
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .process();
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    fn ends(&self) -> usize {
        *self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Kills the daemon if it exceeds its memory, and starts it again.
    fn check(&self, place: &Place) -> io::Result<()> {
        let memory = self.memory();
        if memory <= MEMORY_KB {
            return Ok(());
        }
        let name = &self.settings.name;
        let mut daemon = self.daemon.lock().unwrap_or_else(PoisonError::into_inner);
        daemon.kill();
        *self.ends.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        place.record.add(format!(
            "platform: {name} has {memory} kB, more than {MEMORY_KB}; it is killed"
        ));
        sleep(RESTART);
        *daemon = Daemon::start(&place.repository, &place.scratch, &self.settings)?;
        place
            .record
            .add(format!("platform: {name} is started again"));
        Ok(())
    }
}

fn run(place: &Place) -> io::Result<i32> {
    let record = &place.record;
    let ip = free_ip(0);
    let store = Store::start(any_port(ip), Duration::from_secs(20))?;
    let mut replicas = Replicas::start(ip, &store)?;
    let chat = ",\"timeoutMs\":12000,\"latencyTargetMs\":400,\"gapTargetMs\":400,\"maxAttempts\":1,\"resumable\":false,\"sticky\":true";
    let routes = [route("note", "/note/", "streaming", "model", chat)];
    let text = configuration(1, &routes, &["model"], &tenant("quad", "key-1"));
    store.put("op/config", &text);
    let machines = (0..MACHINES).map(|number| Machine::start(place, number, &store));
    let machines: Vec<Machine> = machines.collect::<io::Result<_>>()?;
    sleep(Duration::from_secs(3));
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for machine in &machines {
            scope.spawn(|| {
                while !is_over.load(Ordering::SeqCst) {
                    if let Err(error) = machine.check(place) {
                        record.add(format!("a daemon can't be started: {error}"));
                    }
                    sleep(Duration::from_millis(100));
                }
            });
        }
        let played = play(place, &machines, &store, &mut replicas);
        is_over.store(true, Ordering::SeqCst);
        played
    })?;
    let ends: Vec<usize> = machines.iter().map(Machine::ends).collect();
    record.add(format!("ends of the daemons by too much memory: {ends:?}"));
    let often = ends.iter().filter(|ends| **ends >= ENDS_MIN).count();
    Ok(if often >= MACHINES_MIN { BROKEN } else { HELD })
}

/// The replicas of the model.
struct Replicas {
    ip: IpAddr,
    processes: Vec<ReplicaProcess>,
    started: usize,
    store: Store,
}

impl Replicas {
    fn start(ip: IpAddr, store: &Store) -> io::Result<Self> {
        let mut replicas = Self {
            ip,
            processes: Vec::new(),
            started: 0,
            store: store.clone(),
        };
        replicas.add(REPLICAS)?;
        Ok(replicas)
    }

    fn add(&mut self, count: usize) -> io::Result<()> {
        for _ in 0..count {
            let id = format!("i-model{:03}", self.started);
            self.started += 1;
            let process = ReplicaProcess::start(&id, "model", self.ip, &self.store)?;
            self.processes.push(process);
        }
        Ok(())
    }

    /// Kills the oldest replicas; others start in their place.
    fn crash(&mut self) -> io::Result<()> {
        for process in self.processes.drain(..CRASHED) {
            process.crash(&self.store);
        }
        sleep(DOWN);
        self.add(CRASHED)
    }
}

/// Opens streams whose prompts are all different; the answers aren't read.
fn open_chats(machines: &[Machine], round: usize) -> (Vec<Client>, usize) {
    let (mut chats, mut failed) = (Vec::new(), 0);
    for number in 0..STREAMS {
        for (place, machine) in machines.iter().enumerate() {
            let chat = (round * STREAMS + number) * machines.len() + place;
            let first = 0x1000_0000 + chat * PARTS;
            let parts = (first..first + PARTS).map(|part| format!("{part:08x}:10"));
            let parts: Vec<String> = parts.collect();
            let headers = format!(
                "Model: m\r\nToken-Usage: 2000,140\r\nPrefix-Hash: {}\r\n",
                parts.join(",")
            );
            let text = request(
                "POST",
                "/note/1",
                &format!("chat{chat}"),
                "key-1",
                12_000,
                &headers,
                "{}",
            );
            let opened = Client::connect(machine.front);
            match opened.and_then(|mut client| client.send(&text).map(|()| client)) {
                Ok(client) => chats.push(client),
                Err(_) => failed += 1,
            }
        }
    }
    (chats, failed)
}

fn play(
    place: &Place,
    machines: &[Machine],
    store: &Store,
    replicas: &mut Replicas,
) -> io::Result<()> {
    let record = &place.record;
    for round in 0..ROUNDS {
        let began = Instant::now();
        let (chats, failed) = open_chats(machines, round);
        record.add(format!(
            "clients: {} streams with prompts of {PARTS} parts; {failed} more couldn't connect",
            chats.len()
        ));
        sleep(Duration::from_millis(700));
        if place.has_trouble {
            record.add(format!(
                "{CRASHED} of {REPLICAS} replicas crash for {DOWN:?}"
            ));
            replicas.crash()?;
        }
        sleep(ROUND.saturating_sub(began.elapsed()));
        let memory: Vec<u64> = machines.iter().map(Machine::memory).collect();
        let (count, bytes) = store.count("crash-reports/");
        record.add(format!(
            "memory of the daemons in kB: {memory:?}; the store has {count} crash reports of {bytes} bytes"
        ));
    }
    // What is on record stays for ten minutes.
    sleep(Duration::from_secs(10));
    Ok(())
}
