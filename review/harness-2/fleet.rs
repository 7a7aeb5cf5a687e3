//! The record of a case, daemons as separate processes, and the entries of replicas in the store.

use crate::{
    store::Store,
    wire::{Answer, Client, Patience},
};
use std::{
    env,
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// `record.txt`: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// The ids of all processes that the case has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Starts a process that `end_all` ends.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let mut started = STARTED.lock().unwrap();
    let child = command.spawn()?;
    started.push(child.id());
    Ok(child)
}

/// Ends a process that `spawn` started.
pub fn end(child: &mut Child) {
    let mut started = STARTED.lock().unwrap();
    let _ = child.kill();
    let _ = child.wait();
    started.retain(|id| *id != child.id());
}

/// Ends all processes that are left, and keeps others from being started.
pub fn end_all() {
    let started = STARTED.lock().unwrap();
    for id in started.iter() {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
    // No process starts after this, until the case's own process ends.
    std::mem::forget(started);
}

/// Ends the own process when the one that started it is gone.
pub fn end_with_parent() {
    thread::spawn(|| {
        let _ = io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address").port()
}

/// The figures of a deployment's sheet that a machine gets in its settings.
pub struct Sheet {
    quota: f64,
    memory_mb: u32,
    fds: u32,
    link_mbps: f64,
    contact_ms: u32,
    ack_ms: u32,
    catch_up_s: u32,
    drain_ms: u32,
    config_apply_ms: u32,
    partition_max_ms: u32,
    retry_headroom: u32,
    recover_s: u32,
    event_delay_ms: u32,
    writes_per_s: u32,
    reads_per_s: u32,
}

/// The sheet of quabbin-match.
pub const SMALL: Sheet = Sheet {
    quota: 0.25,
    memory_mb: 260,
    fds: 4200,
    link_mbps: 1000.0,
    contact_ms: 3000,
    ack_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    config_apply_ms: 2000,
    partition_max_ms: 5000,
    retry_headroom: 52,
    recover_s: 12,
    event_delay_ms: 120,
    writes_per_s: 400,
    reads_per_s: 2000,
};

/// The sheet of quabbin-match-grown, with its slow links.
pub const GROWN: Sheet = Sheet {
    quota: 0.12,
    memory_mb: 160,
    fds: 4100,
    link_mbps: 10.0,
    contact_ms: 4000,
    ack_ms: 6000,
    catch_up_s: 6,
    drain_ms: 3000,
    config_apply_ms: 3000,
    partition_max_ms: 6000,
    retry_headroom: 204,
    recover_s: 15,
    event_delay_ms: 200,
    writes_per_s: 1200,
    reads_per_s: 6000,
};

/// A running `poplargapd --platform`, which is killed when it is dropped.
pub struct Daemon {
    pub frontend: SocketAddr,
    ready: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Daemon {
    /// Starts a daemon on a loopback address of its own, with the settings of the page on deployment.
    pub fn start(root: &Path, store: &Store, number: u32) -> Daemon {
        Daemon::start_with(root, store.address, number, &SMALL)
    }

    /// Starts a daemon with the bounds of a sheet and the store at an address.
    pub fn start_with(root: &Path, store: SocketAddr, number: u32, sheet: &Sheet) -> Daemon {
        let process = std::process::id();
        let mut ip = String::new();
        for attempt in 0..200 {
            let place = process.wrapping_add(attempt * 7) % 62_500;
            ip = format!("127.{}.{}.{}", 60 + number, place / 250, 1 + place % 250);
            if TcpListener::bind((ip.as_str(), 9464)).is_ok() {
                break;
            }
        }
        let folder = env::temp_dir().join(format!("review-2-{process}-{number}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ports: Vec<u16> = (0..4).map(|_| free_port(&ip)).collect();
        let frontend: SocketAddr = format!("{ip}:{}", ports[0]).parse().unwrap();
        let ready: SocketAddr = format!("{ip}:{}", ports[1]).parse().unwrap();
        let settings = format!(
            r#"nodeName = "edge-zone-a-{number}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "zone-a"
region = "new-england"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entrypoint = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "new-england"
zone-b = "new-england"
[listen]
frontend = "{frontend}"
ready = "{ready}"
controlPlane = "{ip}:{control}"
[limits]
cpuQuota = {quota}
cores = 1
memoryMb = {memory}
maxFds = {fds}
linkMbps = {link}
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = {contact}
ackMs = {ack}
catchUpS = {catch_up}
drainMs = {drain}
graceS = 8
lossSlackMs = 200
configApplyMs = {apply}
rollbackSlackMs = 250
partitionMaxMs = {partition}
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryHeadroom = {headroom}
recoverS = {recover}
eventDelayMs = {event_delay}
reuseWindowS = 10
capFactor = 2
[platform]
address = "{store}"
form = "kv"
writesPerS = {writes}
readsPerS = {reads}
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#,
            internal = ports[2],
            control = ports[3],
            quota = sheet.quota,
            memory = sheet.memory_mb,
            fds = sheet.fds,
            link = sheet.link_mbps,
            contact = sheet.contact_ms,
            ack = sheet.ack_ms,
            catch_up = sheet.catch_up_s,
            drain = sheet.drain_ms,
            apply = sheet.config_apply_ms,
            partition = sheet.partition_max_ms,
            headroom = sheet.retry_headroom,
            recover = sheet.recover_s,
            event_delay = sheet.event_delay_ms,
            writes = sheet.writes_per_s,
            reads = sheet.reads_per_s,
        );
        let boot = folder.join("local.toml");
        fs::write(&boot, settings).expect("the settings can be written");
        let log = File::create(folder.join("daemon.log")).expect("the log can be written");
        let child = spawn(
            Command::new(root.join("target/release/poplargapd"))
                .arg("--platform")
                .current_dir(root)
                .env_clear()
                .env("PATH", env::var_os("PATH").unwrap_or_default())
                .env("POPLARGAP_BOOT", &boot)
                .stdin(Stdio::null())
                .stdout(log.try_clone().expect("the log"))
                .stderr(log),
        );
        let child = match child {
            Ok(child) => child,
            Err(error) => {
                println!("the daemon can't be started: {error}");
                end_all();
                std::process::exit(2);
            }
        };
        let mut daemon = Daemon {
            frontend,
            ready,
            child,
            folder,
        };
        daemon.wait_until_ready();
        daemon
    }

    fn wait_until_ready(&mut self) {
        for _ in 0..100 {
            thread::sleep(Duration::from_millis(100));
            if self.is_ready() {
                return;
            }
        }
        println!("the daemon didn't become ready");
        self.end();
        end_all();
        std::process::exit(2);
    }

    fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::connect(self.ready) else {
            return false;
        };
        let request = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        if client.send(request.as_bytes()).is_err() {
            return false;
        }
        let patience = Patience {
            gap: Duration::from_secs(1),
            total: Duration::from_secs(1),
        };
        client.answer(patience, &|_| false).status() == 200
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("daemon.log")).unwrap_or_default()
    }

    fn end(&mut self) {
        end(&mut self.child);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Ok(folder) = env::var("KEEP_LOG") {
            let _ = fs::write(folder, self.log());
        }
        self.end();
    }
}

/// What a replica's entry in the store says of it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
    pub born: u64,
}

/// Writes the entries of the replicas that live, as they do about every heartbeat.
#[derive(Clone)]
pub struct Registry {
    store: Store,
    entries: Arc<Mutex<Vec<(Entry, u64)>>>,
}

impl Registry {
    pub fn start(store: &Store) -> Registry {
        let registry = Registry {
            store: store.clone(),
            entries: Arc::default(),
        };
        let writing = registry.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1200));
                for (entry, sequence) in writing.entries.lock().unwrap().iter_mut() {
                    *sequence += 1;
                    write_entry(&writing.store, entry, *sequence);
                }
            }
        });
        registry
    }

    /// Adds a replica or a new start of one.
    pub fn add(&self, entry: Entry) {
        write_entry(&self.store, &entry, 1);
        let mut entries = self.entries.lock().unwrap();
        entries.retain(|(known, _)| known.id != entry.id);
        entries.push((entry, 1));
    }

    /// Ends the heartbeats of a replica that crashed; its entry expires after three of them.
    pub fn crashed(&self, id: &str) {
        let mut entries = self.entries.lock().unwrap();
        entries.retain(|(known, _)| known.id != id);
        drop(entries);
        let (registry, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3600));
            let entries = registry.entries.lock().unwrap();
            if !entries.iter().any(|(known, _)| known.id == id) {
                registry.store.remove(&format!("servers/{id}"));
            }
        });
    }
}

fn write_entry(store: &Store, entry: &Entry, sequence: u64) {
    let Entry {
        id,
        service,
        address,
        slots,
        born,
    } = entry;
    let text = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
    );
    store.put(&format!("servers/{id}"), &text);
}

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// The key of the only tenant, and its name.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";

/// The operator's configuration: a stream that may be resumed, an idempotent and a non-idempotent
/// route.
pub fn configuration() -> String {
    let limits = r#"{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;
    let engine = r#"{"name":"huvo11a","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":500400,"kvBytes":163840,"linkMbps":260000.0,"moves":true,"backups":true,"stride":7,"most":2,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}"#;
    let desk =
        r#"{"name":"wuno96b","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}"#;
    let stream = r#"{"name":"r-stream","host":"ficu95.example","prefix":"/lohu930/","type":"streaming","timeoutMs":12000,"latencyTargetMs":800,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":400}"#;
    let order = r#"{"name":"r-order","host":"ficu95.example","prefix":"/puxa403/","type":"non_idempotent","timeoutMs":1500,"latencyTargetMs":120,"priority":2,"service":"wuno96b","maxAttempts":1,"public":false,"sticky":false,"resumable":false}"#;
    let lookup = r#"{"name":"r-look","host":"ficu95.example","prefix":"/hugo494/","type":"idempotent","timeoutMs":1500,"latencyTargetMs":120,"priority":2,"service":"wuno96b","maxAttempts":2,"public":false,"sticky":false,"resumable":false}"#;
    format!(
        "{{\"version\":7,\"routes\":[{stream},{order},{lookup}],\"services\":[{engine},{desk}],\"limits\":{limits},\"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Returns the bytes of a request for a stream.
pub fn stream_request(id: &str, prompt: &str, deadline_ms: u64) -> Vec<u8> {
    let body = format!("{{\"prompt\":\"{id}\"}}");
    format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: {prompt}\r\nDeadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a request on a new connection and reads its answer.
pub fn ask(
    address: SocketAddr,
    request: &[u8],
    patience: Patience,
    is_left: &dyn Fn(&Answer) -> bool,
) -> Answer {
    let Ok(mut client) = Client::connect(address) else {
        return Answer::default();
    };
    if client.send(request).is_err() {
        return Answer::default();
    }
    client.answer(patience, is_left)
}
