//! A small deployment: folders, addresses, registrations and the configuration.

use {
    crate::{record::Record, store::Store},
    std::{
        env, fs, io,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        process,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, sleep},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Pause between two writes of a replica's entry, `heartbeatMs` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The contracts of the small sites.
pub const CONTRACTS: &str = "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"";

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Where a case runs.
pub struct Place {
    /// The folder of the case, for the record.
    pub case: PathBuf,
    pub has_trouble: bool,
    pub record: Arc<Record>,
    pub repository: PathBuf,
    /// A temporary folder.
    pub scratch: PathBuf,
}

impl Place {
    /// Reads the arguments: the repository and the folder of the case.
    pub fn read() -> io::Result<Self> {
        let mut arguments = env::args().skip(1).map(PathBuf::from);
        let (Some(repository), Some(case)) = (arguments.next(), arguments.next()) else {
            return Err(io::Error::other("usage: CASE REPOSITORY FOLDER"));
        };
        let scratch = env::temp_dir().join(format!("poplargap-review-{}", process::id()));
        fs::create_dir_all(&scratch)?;
        Ok(Self {
            case,
            has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
            record: Arc::default(),
            repository,
            scratch,
        })
    }

    /// Writes the record, removes the temporary folder and ends the process.
    pub fn end(&self, code: i32) -> ! {
        self.record.add(format!("exit code {code}"));
        self.record.write(&self.case.join("record.txt"));
        if env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.scratch));
        }
        process::exit(code)
    }
}

/// Runs a case and ends the process with its exit code.
pub fn run_case(case: impl FnOnce(&Place) -> io::Result<i32>) -> ! {
    let place = Place::read().unwrap_or_else(|error| {
        eprintln!("{error}");
        process::exit(NOT_RUN)
    });
    let code = case(&place).unwrap_or_else(|error| {
        place.record.add(format!("the case can't run: {error}"));
        NOT_RUN
    });
    place.end(code)
}

/// Returns a loopback address of this run whose ports of a daemon are free.
pub fn free_ip(number: u8) -> IpAddr {
    let seed = process::id();
    for step in 0..200_u32 {
        let mixed = (seed + step * 7919).wrapping_mul(2_654_435_761);
        let [_, high, low, _] = mixed.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 64 + high % 128, low, 10 + number));
        let is_free = |port| TcpListener::bind((ip, port)).is_ok();
        if [8227, 8220, 9464, 7340].into_iter().all(is_free) {
            return ip;
        }
    }
    IpAddr::V4(Ipv4Addr::LOCALHOST)
}

/// Returns an address with any free port.
pub fn any_port(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, 0)
}

/// A replica's entry in the store.
#[derive(Clone, Debug)]
pub struct Registration {
    pub address: SocketAddr,
    pub born: u64,
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub zone: String,
}

impl Registration {
    pub fn new(id: &str, service: &str, address: SocketAddr) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            address,
            born: since.map_or(0, |since| since.as_millis() as u64),
            id: id.to_owned(),
            service: service.to_owned(),
            slots: 64,
            zone: "zone-a".to_owned(),
        }
    }

    /// Writes the entry.
    pub fn write(&self, store: &Store, state: &str, sequence: u64) {
        let Self {
            address,
            born,
            id,
            service,
            slots,
            zone,
        } = self;
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &text);
    }

    /// Writes the entry with each heartbeat until the returned flag is set.
    pub fn keep(&self, store: &Store) -> Arc<AtomicBool> {
        let is_gone = Arc::new(AtomicBool::new(false));
        let (entry, store, ended) = (self.clone(), store.clone(), Arc::clone(&is_gone));
        thread::spawn(move || {
            for sequence in 1.. {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                entry.write(&store, "ready", sequence);
                sleep(HEARTBEAT);
            }
        });
        is_gone
    }
}

/// Returns the text of a configuration; `routes` and `tenants` are JSON texts.
pub fn configuration(version: u64, routes: &[String], services: &[&str], tenants: &str) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{tenants}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns a tenant with one key.
pub fn tenant(name: &str, key: &str) -> String {
    format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1}}")
}

/// Returns a route; `more` are further fields.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\
         \"priority\":0,\"service\":\"{service}\",\"public\":false{more}}}"
    )
}
