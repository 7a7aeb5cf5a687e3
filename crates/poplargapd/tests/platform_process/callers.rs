use {
    crate::site::{CALLERS_PORT, FleetSite},
    reqwest::{Client, StatusCode},
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
};

/// The statuses that callers received, by request id; `None` when no whole answer arrived.
#[derive(Default)]
pub struct CallerRecord {
    pub answers: Vec<(String, Option<StatusCode>)>,
}

impl CallerRecord {
    /// Checks that requests ran as often as their answers say, and at most once.
    pub fn check(&self, runs: &HashMap<String, usize>) {
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

    pub fn served(&self) -> usize {
        let is_ok = |status: &Option<StatusCode>| *status == Some(StatusCode::OK);
        self.answers
            .iter()
            .filter(|(_, status)| is_ok(status))
            .count()
    }
}

/// Sends requests to the daemons in turn until `ends` is set.
pub async fn call(
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
pub async fn with_callers(
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
