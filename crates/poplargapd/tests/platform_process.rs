//! Daemon processes on the users' platform under faults of processes, replicas and the store.

use {
    poplargap_platform::{SETTINGS_VARIABLE, StoreClient},
    poplargap_store::{KeyValueStore, SwapOutcome, SwapWrite},
    poplargap_testbed::{
        replica::{ReplicaFault, ReplicaStandIn},
        store::{StoreFaults, StoreStandIn},
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    reqwest::{Client, StatusCode},
    std::{
        collections::HashMap,
        fs,
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_poplargapd");

/// Seeds of the soak; a seed that has failed stays here with its cause.
const SEEDS: [u64; 2] = [1, 2];

/// Number of faults in one run.
const FAULT_COUNT: usize = 8;

/// Longest time from the signal to the end of a daemon.
const GRACE: Duration = Duration::from_secs(4);

/// Longest time until a site is ready after its faults have ended.
const RECOVERY_MAX: Duration = Duration::from_secs(10);

/// Requests whose log lines fill the pipe and the log's queue.
const STALLED_CALLS: u64 = 6_000;

/// Port of the listener for callers; each daemon has its own loopback address.
const CALLERS_PORT: u16 = 8_227;

struct FleetDaemon {
    child: Child,
    ip: String,
    settings: PathBuf,
}

impl FleetDaemon {
    fn spawn(ip: &str, settings: PathBuf, output: Stdio) -> Self {
        let child = Command::new(PROGRAM)
            .arg("--platform")
            .env(SETTINGS_VARIABLE, &settings)
            .stdout(output)
            .spawn()
            .expect("the daemon starts");
        Self {
            child,
            ip: ip.to_owned(),
            settings,
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the process to end within `GRACE` and returns its status.
    async fn wait_for_end(&mut self) -> ExitStatus {
        let end = Instant::now() + GRACE;
        loop {
            if let Some(status) = self.child.try_wait().expect("it is a child") {
                return status;
            }
            assert!(Instant::now() < end, "the daemon didn't end in time");
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn respawn(&mut self) {
        let settings = self.settings.clone();
        *self = Self::spawn(&self.ip, settings, Stdio::null());
    }

    async fn is_ready(&self, client: &Client) -> bool {
        let url = format!("http://{}:8220/v1/readyz", self.ip);
        let answer = client.get(url).send().await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }
}

impl Drop for FleetDaemon {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

struct FleetSite {
    client: Client,
    daemons: Vec<FleetDaemon>,
    replicas: Vec<ReplicaStandIn>,
    store: StoreStandIn,
    _directory: TempDir,
}

impl FleetSite {
    async fn start(count: usize, output: fn() -> Stdio) -> Self {
        let store = StoreStandIn::start(([127, 0, 0, 1], 0).into()).await;
        let store = store.expect("the store starts");
        let writer = StoreClient::new(store.address(), Duration::from_secs(2)).expect("a client");
        let mut replicas = Vec::new();
        for number in 0..4 {
            let replica = ReplicaStandIn::start(&format!("i-{number}"), "model").await;
            let replica = replica.expect("a port is free");
            let (key, value) = replica.registration("ready");
            write(&writer, &key, &value).await;
            replicas.push(replica);
        }
        write(&writer, "op/config", CONFIGURATION).await;
        let directory = TempDir::new().expect("a directory");
        let network = rand::rng().random_range(1_u8..=250);
        let daemons = (1..=count)
            .map(|number| {
                let ip = format!("127.{network}.7.{number}");
                let path = directory.path().join(format!("{number}.toml"));
                fs::write(&path, settings(&ip, &store)).expect("the settings are written");
                FleetDaemon::spawn(&ip, path, output())
            })
            .collect();
        let site = Self {
            client: Client::builder().no_proxy().build().expect("a client"),
            daemons,
            replicas,
            store,
            _directory: directory,
        };
        site.wait_until_ready().await;
        site
    }

    async fn wait_until_ready(&self) {
        let end = Instant::now() + RECOVERY_MAX;
        for daemon in &self.daemons {
            while !daemon.is_ready(&self.client).await {
                assert!(Instant::now() < end, "a daemon isn't ready in time");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn set_store(&self, faults: StoreFaults) {
        let url = format!("http://{}/faults", self.store.address());
        let set = self.client.post(url).json(&faults).send().await;
        assert_eq!(set.expect("an answer").status(), StatusCode::OK);
    }

    /// Returns the number of runs of each request, by its id.
    fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for seen in self.replicas.iter().flat_map(ReplicaStandIn::seen) {
            let id = seen.header("attempt-id").expect("each request has an id");
            *runs.entry(id.to_owned()).or_default() += 1;
        }
        runs
    }
}

/// The statuses that callers received, by request id; `None` when no whole answer arrived.
#[derive(Default)]
struct CallerRecord {
    answers: Vec<(String, Option<StatusCode>)>,
}

impl CallerRecord {
    /// Checks that requests ran as often as their answers say, and at most once.
    fn check(&self, runs: &HashMap<String, usize>) {
        for (id, status) in &self.answers {
            let count = runs.get(id).copied().unwrap_or(0);
            assert!(count <= 1, "{id} ran {count} times");
            match status.map(|status| status.as_u16()) {
                Some(200) => assert_eq!(count, 1, "{id} was answered"),
                Some(429 | 503) => assert_eq!(count, 0, "{id} was refused"),
                Some(502 | 504) | None => {}
                Some(other) => panic!("{id} got {other}"),
            }
        }
    }

    fn served(&self) -> usize {
        let is_ok = |status: &Option<StatusCode>| *status == Some(StatusCode::OK);
        self.answers
            .iter()
            .filter(|(_, status)| is_ok(status))
            .count()
    }
}

/// Sends requests to the daemons in turn until `ends` is set.
async fn call(
    ips: Vec<String>,
    caller: usize,
    ends: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
) -> CallerRecord {
    let client = Client::builder().no_proxy().build().expect("a client");
    let mut record = CallerRecord::default();
    for number in 0.. {
        if ends.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("c{caller}-{number}");
        let ip = &ips[(caller + number) % ips.len()];
        let answer = client
            .post(format!("http://{ip}:{CALLERS_PORT}/once/"))
            .header("host", "shop.example")
            .header("attempt-id", &id)
            .header("deadline-ms", "2000")
            .header("x-api-key", "key-1")
            .body("two valves")
            .send()
            .await;
        let status = match answer {
            Ok(answer) => {
                let status = answer.status();
                answer.bytes().await.ok().map(|_| status)
            }
            Err(_) => None,
        };
        record.answers.push((id, status));
        sent.fetch_add(1, Ordering::Relaxed);
        if status != Some(StatusCode::OK) {
            sleep(Duration::from_millis(20)).await;
        }
    }
    record
}

/// Runs callers while `faults` runs, and returns their answers.
async fn with_callers(
    site: &mut FleetSite,
    faults: impl AsyncFnOnce(&mut FleetSite, &AtomicU64),
) -> CallerRecord {
    let ends = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let ips: Vec<String> = site
        .daemons
        .iter()
        .map(|daemon| daemon.ip.clone())
        .collect();
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        callers.spawn(call(
            ips.clone(),
            caller,
            Arc::clone(&ends),
            Arc::clone(&sent),
        ));
    }
    faults(site, &sent).await;
    ends.store(true, Ordering::Relaxed);
    let records = callers.join_all().await;
    CallerRecord {
        answers: records
            .into_iter()
            .flat_map(|record| record.answers)
            .collect(),
    }
}

async fn play_fault(site: &mut FleetSite, random: &mut StdRng) {
    let daemon = random.random_range(0..site.daemons.len());
    let replica = site.replicas.choose(random).expect("there are replicas");
    let pause = Duration::from_millis(random.random_range(100..700));
    match random.random_range(0..7) {
        0 => {
            site.daemons[daemon].signal("-TERM");
            assert!(site.daemons[daemon].wait_for_end().await.success());
            site.daemons[daemon].respawn();
        }
        1 => {
            site.daemons[daemon].signal("-KILL");
            site.daemons[daemon].wait_for_end().await;
            site.daemons[daemon].respawn();
        }
        2 => site.daemons[daemon].signal("-HUP"),
        3 => {
            site.daemons[daemon].signal("-STOP");
            sleep(pause).await;
            site.daemons[daemon].signal("-CONT");
        }
        4 => replica.set_fault(ReplicaFault::CloseUnanswered),
        5 => replica.set_fault(ReplicaFault::ExtraAnswer),
        _ => {
            let refuse = random.random();
            let faults = StoreFaults {
                refuse,
                silent: !refuse,
                ..StoreFaults::default()
            };
            site.set_store(faults).await;
            sleep(pause).await;
            site.set_store(StoreFaults::default()).await;
        }
    }
    sleep(pause).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_run_at_most_once_under_faults() {
    for seed in SEEDS {
        eprintln!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let mut site = FleetSite::start(3, Stdio::null).await;
        let record = with_callers(&mut site, async |site, _| {
            for _ in 0..FAULT_COUNT {
                play_fault(site, &mut random).await;
            }
            for replica in &site.replicas {
                replica.set_fault(ReplicaFault::default());
            }
            site.wait_until_ready().await;
        })
        .await;
        record.check(&site.runs());
        assert!(
            record.served() * 2 > record.answers.len(),
            "more than half of the requests are served"
        );
        let after = with_callers(&mut site, async |_, _| {
            sleep(Duration::from_millis(500)).await;
        });
        let after = after.await;
        assert!(after.served() > 0, "requests are served after the faults");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_end_in_turn_lose_no_request() {
    let mut site = FleetSite::start(2, Stdio::null).await;
    let record = with_callers(&mut site, async |site, _| {
        for daemon in 0..2 {
            sleep(Duration::from_millis(200)).await;
            site.daemons[daemon].signal("-TERM");
            assert!(site.daemons[daemon].wait_for_end().await.success());
            site.daemons[daemon].respawn();
            site.wait_until_ready().await;
        }
    })
    .await;
    let runs = site.runs();
    record.check(&runs);
    for (id, status) in &record.answers {
        let was_lost = status.is_none() && runs.contains_key(id);
        assert!(!was_lost, "{id} ran and its answer was lost");
    }
}

/// Nobody reads standard output: log lines are dropped, and neither requests nor the shutdown waits.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_reader_of_the_log_costs_no_request() {
    let mut site = FleetSite::start(1, Stdio::piped).await;
    let record = with_callers(&mut site, async |_, sent| {
        while sent.load(Ordering::Relaxed) < STALLED_CALLS {
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    assert_eq!(record.served(), record.answers.len());
    site.daemons[0].signal("-TERM");
    assert!(site.daemons[0].wait_for_end().await.success());
}

async fn write(store: &StoreClient, key: &str, value: &str) {
    let write = SwapWrite {
        expected: None,
        key: key.to_owned(),
        lease: None,
        value: Some(value.to_owned()),
    };
    let outcome = store.swap(&write).await;
    assert!(matches!(outcome, SwapOutcome::Applied(_)), "{outcome:?}");
}

const CONFIGURATION: &str = r#"{"version":1,
    "routes":[{"name":"once","host":"shop.example","prefix":"/once/","type":"non_idempotent",
        "timeoutMs":3000,"latencyTargetMs":400,"priority":1,"service":"model","maxAttempts":2}],
    "services":[{"name":"model","maxConns":100}],
    "tenants":[{"name":"ty-bach","apiKeys":["key-1"],"priority":2}]}"#;

fn settings(ip: &str, store: &StoreStandIn) -> String {
    let store = store.address();
    let grace = GRACE.as_secs();
    format!(
        r#"nodeName = "edge-{ip}"
ip = "{ip}"
zone = "ne1"
internalPorts = [7340, 7355]
[listen]
frontend = "{ip}:{CALLERS_PORT}"
ready = "{ip}:8220"
[bounds]
contactMs = 3000
drainMs = 2000
graceS = {grace}
retryBudgetRatio = 0.2
budgetWindowS = 10
[platform]
address = "{store}"
"#
    )
}
