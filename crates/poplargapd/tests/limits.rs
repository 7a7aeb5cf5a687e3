//! Catalogue limits hold over all daemons and data centres together.

use {
    poplargap_core::catalogue::LimitSet,
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, ChatSession, ChatTurn, ServiceCall, ServiceOutcome},
        desk::DeskSettings,
        site::{EmbeddedSite, SitePlan},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::{self, Instant},
    warp::http::Method,
};

const SERVICE_TIME: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time after a start in which lenders only confirm the loans that borrowers report.
const TAKEOVER_WAIT: Duration = Duration::from_secs(4);

/// Starts a site with `limits` on the class of lookups, and waits until its lenders lend.
async fn start(data_centres: &[&str], daemons: usize, limits: LimitSet) -> EmbeddedSite {
    let mut plan = SitePlan::new(data_centres, daemons, 1, 2, 1);
    plan.desk = DeskSettings {
        service_time: SERVICE_TIME,
        ..DeskSettings::default()
    };
    for class in &mut plan.workspaces[0].classes {
        if class.name == "w01.lookups" {
            class.limits = limits;
        }
    }
    let site = EmbeddedSite::start(&plan).await.expect("the site starts");
    time::sleep(TAKEOVER_WAIT).await;
    site
}

async fn lookup(address: SocketAddr, id: String) -> ServiceOutcome {
    let caller = CallerClient::new("key-of-w01", TIMEOUT).expect("the caller starts");
    let call = ServiceCall {
        class: Some("lookups".to_owned()),
        idempotency_key: None,
        method: Method::GET,
        path: "stock/el34".to_owned(),
        request_id: id,
        service: "desk".to_owned(),
    };
    caller.service(address, &call).await
}

/// Calls from `each` callers at every daemon until `end`; returns the served and refused calls.
async fn call_until(callers: &[SocketAddr], each: usize, end: Instant) -> (usize, usize) {
    let mut tasks = Vec::new();
    for (daemon, address) in callers.iter().copied().enumerate() {
        for number in 0..each {
            tasks.push(tokio::spawn(async move {
                let (mut served, mut refused, mut turn) = (0, 0, 0);
                while Instant::now() < end {
                    turn += 1;
                    let outcome = lookup(address, format!("{daemon}-{number}-{turn}")).await;
                    match outcome.verdict {
                        CallVerdict::Complete => served += 1,
                        CallVerdict::Refused(refusal) => {
                            assert_eq!(refusal.code, "limit-reached", "{}", refusal.detail);
                            assert_eq!(refusal.ran.to_string(), "not-run");
                            refused += 1;
                        }
                        verdict => panic!("{verdict:?}"),
                    }
                }
                (served, refused)
            }));
        }
    }
    let (mut served, mut refused) = (0, 0);
    for task in tasks {
        let counts = task.await.expect("the caller ends");
        served += counts.0;
        refused += counts.1;
    }
    (served, refused)
}

/// Returns when each call that ran started, in milliseconds since its desk's start.
async fn start_times(site: &mut EmbeddedSite) -> Vec<u64> {
    let mut times = Vec::new();
    for desk in &site.upstreams().desks {
        let ledger = desk.ledger().await.expect("the desk runs");
        times.extend(ledger.runs.iter().map(|run| run.time_ms));
    }
    times
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrency_of_one_holds_over_two_data_centres() {
    let limits = LimitSet {
        concurrency: Some(1),
        ..LimitSet::default()
    };
    let mut site = start(&["ne1", "ne2"], 4, limits).await;
    let begin = Instant::now();
    let span = Duration::from_secs(3);
    let (served, _) = call_until(&site.callers(), 2, begin + span).await;
    let times = start_times(&mut site).await;
    assert_eq!(times.len(), served, "a refused call ran");
    // With one call at a time, each of 100 ms, no more can be served in the time.
    let most = begin.elapsed().as_millis() / SERVICE_TIME.as_millis();
    assert!(
        served as u128 <= most,
        "{served} calls were served, {most} fit"
    );
    assert!(served >= 5, "only {served} calls were served");
    site.close().await;
}

/// Calls for 4 s beyond a limit of 20 requests a second; returns the served calls and the seconds.
async fn call_at_rate_limit() -> (usize, f64) {
    let limits = LimitSet {
        requests_per_second: Some(20),
        ..LimitSet::default()
    };
    let mut site = start(&["ne1", "ne2"], 4, limits).await;
    let begin = Instant::now();
    let (served, refused) = call_until(&site.callers(), 3, begin + Duration::from_secs(4)).await;
    let seconds = begin.elapsed().as_secs_f64();
    let times = start_times(&mut site).await;
    assert_eq!(times.len(), served, "a refused call ran");
    assert!(refused > 0, "the limit was never reached");
    site.close().await;
    (served, seconds)
}

#[tokio::test(flavor = "multi_thread")]
async fn request_rate_holds_over_two_data_centres() {
    let (served, seconds) = call_at_rate_limit().await;
    let most = 20 * (seconds.floor() as usize + 1);
    assert!(served <= most, "{served} calls in {seconds} s");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_rate_is_used_up_under_demand() {
    let (served, seconds) = call_at_rate_limit().await;
    let least = 0.95 * 20.0 * seconds.floor();
    assert!(served as f64 >= least, "only {served} calls in {seconds} s");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_larger_than_the_whole_limit_is_refused_as_not_run() {
    let mut plan = SitePlan::new(&["ne1"], 1, 1, 1, 1);
    for class in &mut plan.workspaces[0].classes {
        class.limits.tokens_per_minute = Some(10);
    }
    let site = EmbeddedSite::start(&plan).await.expect("the site starts");
    let caller = CallerClient::new("key-of-w01", TIMEOUT).expect("the caller starts");
    let mut session = ChatSession::new("large", "curve");
    let turn = ChatTurn {
        class: Some("notes".to_owned()),
        content: "a matched quad of power valves".to_owned(),
        deadline: None,
        max_tokens: 20,
        request_id: "large".to_owned(),
        stream: true,
    };
    let outcome = caller.chat(site.callers()[0], &mut session, &turn).await;
    let CallVerdict::Refused(refusal) = outcome.verdict else {
        panic!("{:?}", outcome.verdict);
    };
    assert_eq!(
        (refusal.code.as_str(), refusal.status),
        ("limit-reached", 429)
    );
    assert_eq!(refusal.ran.to_string(), "not-run");
    site.close().await;
}
