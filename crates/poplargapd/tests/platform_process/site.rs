use {
    poplargap_platform::{SETTINGS_VARIABLE, StoreClient},
    poplargap_store::{KeyValueStore, SwapOutcome, SwapWrite},
    poplargap_testbed::{
        replica::ReplicaStandIn,
        store::{RestorePlan, RestoredWrite, StoreFaults, StoreStandIn},
    },
    rand::Rng,
    reqwest::{Client, StatusCode},
    serde::Serialize,
    std::{
        collections::HashMap,
        fs,
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::time::{Instant, sleep},
};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_poplargapd");

/// Longest time from the signal to the end of a daemon.
pub const GRACE: Duration = Duration::from_secs(4);

/// Longest time until a site is ready after its faults have ended.
pub const RECOVERY_MAX: Duration = Duration::from_secs(10);

/// Port of the listener for callers; each daemon has its own loopback address.
pub const CALLERS_PORT: u16 = 8_227;

pub struct FleetDaemon {
    pub child: Child,
    pub ip: String,
    settings: PathBuf,
}

impl FleetDaemon {
    pub fn spawn(ip: &str, settings: PathBuf, output: Stdio) -> Self {
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

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the process to end within `GRACE` and returns its status.
    pub async fn wait_for_end(&mut self) -> ExitStatus {
        let end = Instant::now() + GRACE;
        loop {
            if let Some(status) = self.child.try_wait().expect("it is a child") {
                return status;
            }
            assert!(Instant::now() < end, "the daemon didn't end in time");
            sleep(Duration::from_millis(10)).await;
        }
    }

    pub fn respawn(&mut self) {
        let settings = self.settings.clone();
        *self = Self::spawn(&self.ip, settings, Stdio::null());
    }

    pub async fn is_ready(&self, client: &Client) -> bool {
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

pub struct FleetSite {
    pub client: Client,
    pub daemons: Vec<FleetDaemon>,
    pub replicas: Vec<ReplicaStandIn>,
    pub store: StoreStandIn,
    _directory: TempDir,
}

impl FleetSite {
    pub async fn start(count: usize, output: fn() -> Stdio) -> Self {
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
        write(&writer, "op/config", &configuration(1)).await;
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

    pub async fn wait_until_ready(&self) {
        let end = Instant::now() + RECOVERY_MAX;
        for daemon in &self.daemons {
            while !daemon.is_ready(&self.client).await {
                assert!(Instant::now() < end, "a daemon isn't ready in time");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    pub async fn set_store(&self, faults: StoreFaults) {
        let url = format!("http://{}/faults", self.store.address());
        let set = self.client.post(url).json(&faults).send().await;
        assert_eq!(set.expect("an answer").status(), StatusCode::OK);
    }

    /// Takes a copy of the store.
    pub async fn copy_store(&self) {
        self.control("copy", &()).await;
    }

    /// Puts the last copy of the store back and writes `fillers` keys before any answer.
    pub async fn restore_store(&self, fillers: usize) {
        let writes = (0..fillers).map(|number| RestoredWrite {
            key: format!("fillers/{number}"),
            value: Some(String::new()),
        });
        let writes = writes.collect();
        self.control("restore", &RestorePlan { writes }).await;
    }

    async fn control(&self, name: &str, body: &impl Serialize) {
        let url = format!("http://{}/{name}", self.store.address());
        let done = self.client.post(url).json(body).send().await;
        assert_eq!(done.expect("an answer").status(), StatusCode::OK);
    }

    /// Writes a configuration that has a route of its own version.
    pub async fn configure(&self, version: u64) {
        let writer = StoreClient::new(self.store.address(), Duration::from_secs(2));
        let writer = writer.expect("a client");
        let stored = writer.get("op/config").await.expect("the store answers");
        let outcome = writer
            .swap(&SwapWrite {
                expected: stored.map(|stored| stored.revision),
                key: "op/config".to_owned(),
                lease: None,
                value: Some(configuration(version)),
            })
            .await;
        assert!(matches!(outcome, SwapOutcome::Applied(_)), "{outcome:?}");
    }

    /// Waits until all daemons have the route of a version.
    pub async fn wait_until_configured(&self, version: u64, limit: Duration) {
        let end = Instant::now() + limit;
        for daemon in &self.daemons {
            let url = format!("http://{}:{CALLERS_PORT}/version-{version}/", daemon.ip);
            loop {
                let request = self.client.post(&url).header("host", "shop.example");
                let request = request
                    .header("attempt-id", format!("v{version}"))
                    .header("x-api-key", "key-1");
                let answer = request.send().await.expect("an answer");
                if answer.status() != StatusCode::NOT_FOUND {
                    break;
                }
                assert!(Instant::now() < end, "version {version} isn't in force");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Returns the number of runs of each request, by its id.
    pub fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for seen in self.replicas.iter().flat_map(ReplicaStandIn::seen) {
            let id = seen.header("attempt-id").expect("each request has an id");
            *runs.entry(id.to_owned()).or_default() += 1;
        }
        runs
    }
}

pub async fn write(store: &StoreClient, key: &str, value: &str) {
    let write = SwapWrite {
        expected: None,
        key: key.to_owned(),
        lease: None,
        value: Some(value.to_owned()),
    };
    let outcome = store.swap(&write).await;
    assert!(matches!(outcome, SwapOutcome::Applied(_)), "{outcome:?}");
}

/// Returns a configuration with a route for callers and one that is named after the version.
pub fn configuration(version: u64) -> String {
    let route = |name: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","prefix":"/{name}/","type":"non_idempotent",
                "timeoutMs":3000,"latencyTargetMs":400,"priority":1,"service":"model",
                "maxAttempts":2}}"#
        )
    };
    let (once, own) = (route("once"), route(&format!("version-{version}")));
    format!(
        r#"{{"version":{version},"routes":[{once},{own}],
            "services":[{{"name":"model","maxConns":100}}],
            "tenants":[{{"name":"ty-bach","apiKeys":["key-1"],"priority":2}}]}}"#
    )
}

pub fn settings(ip: &str, store: &StoreStandIn) -> String {
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
