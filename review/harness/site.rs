//! A small deployment on loopback: the store, the configuration, and daemons as processes.

use {
    crate::{
        client::{HOST, TENANTS, key},
        record::{record, tell},
        replica::{Behaviour, Replica},
        store::Store,
    },
    std::{
        fs::{self, OpenOptions},
        net::{SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, ChildStdout, Command, Stdio, exit},
        sync::{
            Mutex,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Longest time of a case.
const CASE_MAX: Duration = Duration::from_secs(112);

pub const MODEL: &str = "poplar-model";
pub const DESK: &str = "order-desk";
pub const ZONE: &str = "cymru-a";

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Processes that the case started; `None` when it ends and starts no more.
static CHILDREN: Mutex<Option<Vec<Child>>> = Mutex::new(Some(Vec::new()));

pub struct Site {
    /// Addresses of the daemons' listeners for clients.
    pub daemons: Vec<SocketAddr>,
    pub pids: Vec<u32>,
    pub store: Store,
    folder: PathBuf,
    net: String,
    trouble: bool,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Ends the processes that the case started, by their handles.
fn end_children() {
    let mut kept = CHILDREN.lock().unwrap();
    for mut child in kept.take().unwrap_or_default() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Starts a process that ends with the case; returns its id and its output, if that is piped.
pub fn start_child(command: &mut Command) -> (u32, Option<ChildStdout>) {
    let mut kept = CHILDREN.lock().unwrap();
    let Some(children) = kept.as_mut() else {
        drop(kept);
        // The case is ending, and its process with it.
        loop {
            thread::park();
        }
    };
    let Ok(mut child) = command.spawn() else {
        drop(kept);
        fail("a process can't be started; build the deploy file first");
    };
    let started = (child.id(), child.stdout.take());
    children.push(child);
    started
}

/// Ends a process that the case started, as the platform does with one over a limit.
pub fn kill_child(pid: u32) {
    let mut kept = CHILDREN.lock().unwrap();
    let mut children = kept.iter_mut().flatten();
    if let Some(child) = children.find(|child| child.id() == pid) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn finish(code: i32) -> ! {
    end_children();
    exit(code)
}

pub fn fail(reason: &str) -> ! {
    tell(&format!("the case couldn't run: {reason}"));
    finish(2)
}

impl Site {
    /// Starts a site with `daemons` daemons and the configuration of `routes`.
    pub fn start(daemons: usize) -> Site {
        let pid = std::process::id();
        let net = format!("127.{}.{}", 64 + pid % 128, pid / 128 % 250 + 1);
        let Some(folder) = std::env::var_os("REVIEW_FOLDER").map(PathBuf::from) else {
            fail("REVIEW_FOLDER names no temporary folder");
        };
        let end_file = folder.join("end");
        thread::spawn(move || {
            let end = Instant::now() + CASE_MAX;
            while Instant::now() < end && !end_file.exists() {
                thread::sleep(Duration::from_millis(200));
            }
            fail("it was ended or took too long");
        });
        let store = Store::start(&format!("{net}.1"));
        store.put("op/config", &configuration());
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        tell(&format!("trouble: {trouble}"));
        let mut site = Site {
            daemons: Vec::new(),
            pids: Vec::new(),
            store,
            folder,
            net,
            trouble,
        };
        for number in 0..daemons {
            site.start_daemon(number);
        }
        site
    }

    pub fn trouble(&self) -> bool {
        self.trouble
    }

    /// Returns a free address on a port that no outgoing connection is given.
    pub fn free_address(&self, host: usize) -> SocketAddr {
        let ip = self.ip(host);
        loop {
            let turn = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
            let port = 12_000 + (std::process::id() * 97 + turn) % 18_000;
            if let Ok(listener) = TcpListener::bind((ip.as_str(), port as u16)) {
                return listener.local_addr().expect("an address");
            }
        }
    }

    /// The addresses of the hosts: 1 is the store, 10 and above daemons, 100 and above replicas.
    pub fn ip(&self, host: usize) -> String {
        format!("{}.{host}", self.net)
    }

    fn start_daemon(&mut self, number: usize) {
        let host = 10 + number;
        let (front, ready, control, internal) = (
            self.free_address(host),
            self.free_address(host),
            self.free_address(host),
            self.free_address(host),
        );
        let name = format!("edge-{ZONE}-{}", number + 1);
        let ip = self.ip(host);
        let store = self.store.address;
        let internal = internal.port();
        let settings = format!(
            r#"nodeName = "{name}"
role = "router"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{ZONE}"
region = "cymru"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entrypoint = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
{ZONE} = "cymru"
[listen]
frontend = "{front}"
ready = "{ready}"
controlPlane = "{control}"
[limits]
cpuQuota = 0.25
cores = 1
memoryMb = 260
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
partitionMaxMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryHeadroom = 52
recoverS = 12
eventDelayMs = 120
reuseWindowS = 10
capFactor = 2
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings can be written");
        record(&format!("daemon {name} starts at {front}"));
        self.pids.push(start_process(&path));
        self.daemons.push(front);
        let end = Instant::now() + Duration::from_secs(10);
        while !is_ready(ready) {
            if Instant::now() > end {
                fail("a daemon doesn't get ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// The settings file of a daemon.
    pub fn settings(&self, number: usize) -> PathBuf {
        self.folder.join(format!("edge-{ZONE}-{}.toml", number + 1))
    }

    /// Starts a replica within this process and registers it.
    pub fn start_replica(
        &self,
        service: &'static str,
        number: usize,
        behaviour: Behaviour,
    ) -> Replica {
        let listener = TcpListener::bind((self.ip(100 + number).as_str(), 0)).expect("a free port");
        let slots = if service == MODEL { 64 } else { 6 };
        let replica = Replica {
            address: listener.local_addr().expect("an address"),
            born: unix_ms(),
            id: format!("i-{service}-{number}"),
            service,
            slots,
            zone: ZONE,
        };
        let served = replica.clone();
        thread::spawn(move || served.serve(listener, behaviour));
        self.store.put(&replica.key(), &replica.entry("ready", 1));
        replica
    }
}

/// Starts a daemon as the deploy file does; returns its process id.
pub fn start_process(settings: &Path) -> u32 {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"));
    let log = log.expect("a log file");
    let errors = log.try_clone().expect("a log file");
    let mut command = Command::new("target/release/poplargapd");
    let command = command
        .arg("--platform")
        .env_clear()
        .env("POPLARGAP_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    start_child(command).0
}

fn is_ready(address: SocketAddr) -> bool {
    use crate::http::Connection;
    use std::io::Write;
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut connection = Connection::new(stream);
    let request = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    if connection.stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    matches!(connection.read(true), Ok(Some(answer)) if answer.status() == 200)
}

/// The routes of the small deployment `sites/stropfleet.toml`.
fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, rest: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"{HOST}","prefix":"/{name}/","type":"{kind}","service":"{service}","public":false,{rest}}}"#
        )
    };
    let routes = [
        route(
            "guide",
            "streaming",
            MODEL,
            r#""timeoutMs":12000,"latencyTargetMs":800,"gapTargetMs":400,"priority":1,"maxAttempts":2,"sticky":true,"resumable":true"#,
        ),
        route(
            "chat",
            "streaming",
            MODEL,
            r#""timeoutMs":12000,"latencyTargetMs":400,"gapTargetMs":400,"priority":0,"maxAttempts":1,"sticky":true,"resumable":false"#,
        ),
        route(
            "order",
            "non_idempotent",
            DESK,
            r#""timeoutMs":800,"latencyTargetMs":120,"priority":2,"maxAttempts":1,"sticky":false"#,
        ),
        route(
            "stock",
            "idempotent",
            DESK,
            r#""timeoutMs":800,"latencyTargetMs":120,"priority":2,"maxAttempts":2,"sticky":false"#,
        ),
    ];
    let tenants: Vec<String> = (0..TENANTS)
        .map(|tenant| {
            let key = key(tenant);
            format!(r#"{{"name":"hule93{tenant}","apiKeys":["{key}"],"priority":1}}"#)
        })
        .collect();
    let tenants = tenants.join(",");
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"{MODEL}","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false}},{{"name":"{DESK}","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#,
        routes.join(",")
    )
}
