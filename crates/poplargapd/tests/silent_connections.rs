//! Open connections that hang for good while new connections work.

use {
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, ChatSession, ChatTurn, ServiceCall},
        fault::FaultSettings,
        site::{EmbeddedSite, SitePlan, StatusClient},
        store::StoreFaults,
    },
    std::time::Duration,
    tokio::time::{self, Instant},
    warp::http::Method,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const DEADLINE: Duration = Duration::from_secs(8);
const IN_FORCE_MAX: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(50);

/// Starts a site whose classes have a deadline that is shorter than the wait for a first byte.
async fn start(daemons: usize) -> EmbeddedSite {
    let mut plan = SitePlan::new(&["ne1"], daemons, 1, 1, 1);
    for class in &mut plan.workspaces[0].classes {
        class.deadline = DEADLINE;
    }
    EmbeddedSite::start(&plan).await.expect("the site starts")
}

fn caller() -> CallerClient {
    CallerClient::new("key-of-w01", CALL_TIMEOUT).expect("the caller starts")
}

fn silence() -> FaultSettings {
    FaultSettings {
        silent: true,
        ..FaultSettings::default()
    }
}

async fn send_chat(site: &EmbeddedSite, id: &str) -> CallVerdict {
    let turn = ChatTurn {
        class: Some("w01.notes".to_owned()),
        content: "pass or fail for this matched pair".to_owned(),
        deadline: None,
        max_tokens: 4,
        request_id: id.to_owned(),
        stream: true,
    };
    let mut session = ChatSession::new(id, "curve");
    let outcome = caller().chat(site.callers()[0], &mut session, &turn).await;
    outcome.verdict
}

async fn send_lookup(site: &EmbeddedSite, id: &str) -> CallVerdict {
    let call = ServiceCall {
        class: Some("w01.lookups".to_owned()),
        idempotency_key: None,
        method: Method::GET,
        path: "stock/7".to_owned(),
        request_id: id.to_owned(),
        service: "desk".to_owned(),
    };
    caller().service(site.callers()[0], &call).await.verdict
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_is_served_over_a_fresh_connection_to_its_engine() {
    let mut site = start(1).await;
    assert_eq!(send_chat(&site, "first").await, CallVerdict::Complete);
    let engine = site.upstreams().engines[0].as_ref().expect("it runs");
    engine.set_faults(silence()).await;
    assert_eq!(send_chat(&site, "second").await, CallVerdict::Complete);
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lookup_is_served_over_a_fresh_connection_to_its_desk() {
    let mut site = start(1).await;
    assert_eq!(send_lookup(&site, "first").await, CallVerdict::Complete);
    site.upstreams().desks[0].set_faults(silence()).await;
    assert_eq!(send_lookup(&site, "second").await, CallVerdict::Complete);
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_is_in_force_when_the_connections_to_the_store_hang() {
    let site = start(2).await;
    let faults = StoreFaults {
        silent: true,
        ..StoreFaults::default()
    };
    let url = format!("http://{}/faults", site.store());
    let sent = reqwest::Client::new().post(url).json(&faults).send().await;
    assert!(sent.is_ok_and(|response| response.status().is_success()));
    let text = "[pool curve]\nkind = model\nmultiple = 1.5\nqueue = 99\nslots = 24\n";
    let before = highest_revision(&site).await;
    site.apply(text).await.expect("the edit is accepted");
    let applied = Instant::now();
    let client = StatusClient::default();
    for operators in site.operators() {
        while client
            .status(operators)
            .await
            .is_none_or(|status| status.revision <= before)
        {
            assert!(
                applied.elapsed() < IN_FORCE_MAX,
                "{operators} has an old revision"
            );
            time::sleep(POLL).await;
        }
    }
    site.close().await;
}

async fn highest_revision(site: &EmbeddedSite) -> u64 {
    let client = StatusClient::default();
    let mut highest = 0;
    for operators in site.operators() {
        let status = client.status(operators).await.expect("the daemon answers");
        highest = highest.max(status.revision);
    }
    highest
}
