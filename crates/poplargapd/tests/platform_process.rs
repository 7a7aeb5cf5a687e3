//! Daemons on the users' platform as processes of their own, under faults from outside.

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

/// Seeds of the soak; each one that ever failed stays here with its cause.
const SEEDS: [u64; 2] = [1, 2];

/// Faults of one run.
const FAULTS: usize = 8;

/// Time that a daemon has from the signal to its end.
const GRACE: Duration = Duration::from_secs(4);

/// Longest time until a site without faults serves again.
const RECOVERY: Duration = Duration::from_secs(10);

/// Requests whose lines fill the pipe and all that may wait for it.
const STALLED_CALLS: u64 = 6_000;

/// Port of callers; each daemon has a loopback address of its own.
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

    /// Waits for the process to end; it must do so within the grace.
    async fn ended(&mut self) -> ExitStatus {
        let end = Instant::now() + GRACE;
        loop {
            if let Some(status) = self.child.try_wait().expect("it is a child") {
                return status;
            }
            assert!(Instant::now() < end, "the daemon outlives its grace");
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
        site.until_ready().await;
        site
    }

    async fn until_ready(&self) {
        let end = Instant::now() + RECOVERY;
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

    /// Counts the runs of each request.
    fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for seen in self.replicas.iter().flat_map(ReplicaStandIn::seen) {
            let id = seen.header("attempt-id").expect("each request has an id");
            *runs.entry(id.to_owned()).or_default() += 1;
        }
        runs
    }
}

/// What callers saw.
#[derive(Default)]
struct CallerBook {
    answers: Vec<(String, Option<StatusCode>)>,
}

impl CallerBook {
    /// Checks what was promised of requests that may run once.
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

/// Sends requests to the daemons in turn until `ends`.
async fn call(
    ips: Vec<String>,
    caller: usize,
    ends: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
) -> CallerBook {
    let client = Client::builder().no_proxy().build().expect("a client");
    let mut book = CallerBook::default();
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
        book.answers.push((id, status));
        sent.fetch_add(1, Ordering::Relaxed);
        if status != Some(StatusCode::OK) {
            sleep(Duration::from_millis(20)).await;
        }
    }
    book
}

/// Runs callers beside `faults` and returns what they saw.
async fn with_callers(
    site: &mut FleetSite,
    faults: impl AsyncFnOnce(&mut FleetSite, &AtomicU64),
) -> CallerBook {
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
    let books = callers.join_all().await;
    CallerBook {
        answers: books.into_iter().flat_map(|book| book.answers).collect(),
    }
}

async fn play_fault(site: &mut FleetSite, random: &mut StdRng) {
    let daemon = random.random_range(0..site.daemons.len());
    let replica = site.replicas.choose(random).expect("there are replicas");
    let pause = Duration::from_millis(random.random_range(100..700));
    match random.random_range(0..7) {
        0 => {
            site.daemons[daemon].signal("-TERM");
            assert!(site.daemons[daemon].ended().await.success());
            site.daemons[daemon].respawn();
        }
        1 => {
            site.daemons[daemon].signal("-KILL");
            site.daemons[daemon].ended().await;
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
async fn promises_hold_under_faults_from_outside() {
    for seed in SEEDS {
        eprintln!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let mut site = FleetSite::start(3, Stdio::null).await;
        let book = with_callers(&mut site, async |site, _| {
            for _ in 0..FAULTS {
                play_fault(site, &mut random).await;
            }
            for replica in &site.replicas {
                replica.set_fault(ReplicaFault::default());
            }
            site.until_ready().await;
        })
        .await;
        book.check(&site.runs());
        assert!(book.served() * 2 > book.answers.len(), "half is served");
        let after = with_callers(&mut site, async |_, _| {
            sleep(Duration::from_millis(500)).await;
        });
        let after = after.await;
        assert!(after.served() > 0, "it serves again");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_end_in_turn_lose_no_request() {
    let mut site = FleetSite::start(2, Stdio::null).await;
    let book = with_callers(&mut site, async |site, _| {
        for daemon in 0..2 {
            sleep(Duration::from_millis(200)).await;
            site.daemons[daemon].signal("-TERM");
            assert!(site.daemons[daemon].ended().await.success());
            site.daemons[daemon].respawn();
            site.until_ready().await;
        }
    })
    .await;
    let runs = site.runs();
    book.check(&runs);
    for (id, status) in &book.answers {
        let was_lost = status.is_none() && runs.contains_key(id);
        assert!(!was_lost, "{id} ran and its answer was lost");
    }
}

/// Nobody reads standard output: lines are dropped, requests and the end aren't held up.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_reader_of_the_log_costs_no_request() {
    let mut site = FleetSite::start(1, Stdio::piped).await;
    let book = with_callers(&mut site, async |_, sent| {
        while sent.load(Ordering::Relaxed) < STALLED_CALLS {
            sleep(Duration::from_millis(20)).await;
        }
    })
    .await;
    assert_eq!(book.served(), book.answers.len());
    site.daemons[0].signal("-TERM");
    assert!(site.daemons[0].ended().await.success());
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
