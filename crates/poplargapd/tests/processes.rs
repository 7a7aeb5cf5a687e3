//! Requests through sites whose daemons are separate processes.

use {
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, ChatOutcome, ChatSession, ChatTurn, ServiceCall},
        site::{ProcessSite, SitePlan},
    },
    std::{
        fs,
        net::SocketAddr,
        path::Path,
        process::{Command, Output},
        time::Duration,
    },
    tokio::time,
    warp::http::Method,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_poplargapd");
const TIMEOUT: Duration = Duration::from_secs(20);

async fn start(plan: &SitePlan) -> ProcessSite {
    ProcessSite::start(plan, Path::new(PROGRAM))
        .await
        .expect("the site starts")
}

fn caller() -> CallerClient {
    CallerClient::new("key-of-w01", TIMEOUT).expect("the caller starts")
}

fn turn(id: &str, stream: bool, max_tokens: usize) -> ChatTurn {
    ChatTurn {
        class: Some("w01.notes".to_owned()),
        content: "pass or fail for this matched pair of output valves".to_owned(),
        deadline: None,
        max_tokens,
        request_id: id.to_owned(),
        stream,
    }
}

fn booking(id: &str, key: &str) -> ServiceCall {
    ServiceCall {
        class: Some("w01.bookings".to_owned()),
        idempotency_key: Some(key.to_owned()),
        method: Method::POST,
        path: "reservations/7".to_owned(),
        request_id: id.to_owned(),
        service: "desk".to_owned(),
    }
}

async fn long_chat(address: SocketAddr, id: &str) -> ChatOutcome {
    let mut session = ChatSession::new(format!("chat-{id}"), "curve");
    caller()
        .chat(address, &mut session, &turn(id, true, 200))
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn chats_and_bookings_pass_through_every_daemon() {
    let site = start(&SitePlan::new(&["ne1", "ne2"], 3, 4, 2, 1)).await;
    for (number, daemon) in site.daemons.iter().enumerate() {
        for stream in [true, false] {
            let mut session = ChatSession::new(format!("chat-{number}-{stream}"), "curve");
            let id = format!("request-{number}-{stream}");
            let outcome = caller()
                .chat(daemon.callers, &mut session, &turn(&id, stream, 20))
                .await;
            assert_eq!(outcome.verdict, CallVerdict::Complete, "{id}");
        }
        let call = booking(&format!("booking-{number}"), &format!("key-{number}"));
        let outcome = caller().service(daemon.callers, &call).await;
        assert_eq!(outcome.verdict, CallVerdict::Complete, "booking {number}");
    }
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_booking_through_another_data_centre_runs_once() {
    let mut site = start(&SitePlan::new(&["ne1", "ne2"], 2, 2, 2, 1)).await;
    let first = caller()
        .service(site.daemons[0].callers, &booking("first", "one"))
        .await;
    let second = caller()
        .service(site.daemons[1].callers, &booking("second", "one"))
        .await;
    assert_eq!(first.verdict, CallVerdict::Complete);
    assert_eq!(
        first.answer.map(|answer| answer.booking),
        second.answer.map(|answer| answer.booking)
    );
    let mut runs = 0;
    for desk in &site.upstreams().desks {
        runs += desk.ledger().await.expect("the desk runs").runs.len();
    }
    assert_eq!(runs, 1);
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_continue_when_an_engine_fails() {
    let mut site = start(&SitePlan::new(&["ne1"], 2, 2, 1, 1)).await;
    let callers: Vec<SocketAddr> = site.daemons.iter().map(|daemon| daemon.callers).collect();
    let chats: Vec<_> = (0..8)
        .map(|number| {
            let address = callers[number % callers.len()];
            tokio::spawn(async move { long_chat(address, &number.to_string()).await })
        })
        .collect();
    time::sleep(Duration::from_millis(700)).await;
    site.upstreams().stop_engine(0).await;
    for chat in chats {
        let outcome = chat.await.expect("the chat's task ends");
        assert_eq!(
            outcome.verdict,
            CallVerdict::Complete,
            "{}",
            outcome.request_id
        );
        let gap = outcome.largest_gap().unwrap_or_default();
        assert!(
            gap < Duration::from_secs(2),
            "{} waited {gap:?}",
            outcome.request_id
        );
    }
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_continue_when_their_shard_owner_is_killed() {
    let mut site = start(&SitePlan::new(&["ne1"], 3, 3, 1, 1)).await;
    let callers: Vec<SocketAddr> = site.daemons.iter().map(|daemon| daemon.callers).collect();
    // The only shard has one owner; chats enter through the other two daemons.
    let mut probe = ChatSession::new("probe", "curve");
    caller()
        .chat(callers[0], &mut probe, &turn("probe", true, 4))
        .await;
    let owner = owner_of_engines(&site).await;
    let entries: Vec<SocketAddr> = callers
        .iter()
        .enumerate()
        .filter(|(number, _)| *number != owner)
        .map(|(_, address)| *address)
        .collect();
    let chats: Vec<_> = (0..8)
        .map(|number| {
            let address = entries[number % entries.len()];
            tokio::spawn(async move { long_chat(address, &number.to_string()).await })
        })
        .collect();
    time::sleep(Duration::from_millis(700)).await;
    site.daemons[owner].kill();
    for chat in chats {
        let outcome = chat.await.expect("the chat's task ends");
        assert_eq!(
            outcome.verdict,
            CallVerdict::Complete,
            "{}",
            outcome.request_id
        );
        let gap = outcome.largest_gap().unwrap_or_default();
        assert!(
            gap < Duration::from_secs(2),
            "{} waited {gap:?}",
            outcome.request_id
        );
    }
    site.close().await;
}

/// Returns the number of the daemon that reports the engines' loads.
async fn owner_of_engines(site: &ProcessSite) -> usize {
    for (number, daemon) in site.daemons.iter().enumerate() {
        let url = format!("http://{}/metrics", daemon.operators);
        let text = reqwest::get(url)
            .await
            .expect("metrics answer")
            .text()
            .await
            .expect("metrics are text");
        if text.contains("poplargap_upstream_load{upstream=\"curve") {
            return number;
        }
    }
    panic!("no daemon owns the engines' shard");
}

#[tokio::test(flavor = "multi_thread")]
async fn closing_daemon_interrupts_no_stream() {
    let mut site = start(&SitePlan::new(&["ne1"], 2, 2, 1, 1)).await;
    let address = site.daemons[0].callers;
    let chats: Vec<_> = (0..4)
        .map(|number| tokio::spawn(async move { long_chat(address, &number.to_string()).await }))
        .collect();
    time::sleep(Duration::from_millis(500)).await;
    let status = site.daemons[0]
        .terminate(TIMEOUT)
        .await
        .expect("the daemon runs");
    assert!(
        status.is_some_and(|status| status.success()),
        "the daemon exits successfully: {status:?}"
    );
    for chat in chats {
        let outcome = chat.await.expect("the chat's task ends");
        assert_eq!(
            outcome.verdict,
            CallVerdict::Complete,
            "{}",
            outcome.request_id
        );
    }
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn long_body_and_unknown_key_are_refused_as_not_run() {
    let site = start(&SitePlan::new(&["ne1"], 1, 1, 1, 1)).await;
    let address = site.daemons[0].callers;
    // An early answer must reach a caller that is still sending its request.
    for number in 0..10 {
        let mut session = ChatSession::new("long", "curve");
        let mut long = turn(&format!("long-{number}"), true, 4);
        long.content = "x".repeat(8 * 1024 * 1024);
        let outcome = caller().chat(address, &mut session, &long).await;
        assert_eq!(
            refusal_code(&outcome.verdict),
            Some("body-too-large not-run".to_owned()),
            "{:?}",
            outcome.verdict
        );
    }
    let mut session = ChatSession::new("stranger", "curve");
    let stranger = CallerClient::new("key-of-nobody", TIMEOUT).expect("the caller starts");
    let outcome = stranger
        .chat(address, &mut session, &turn("stranger", true, 4))
        .await;
    assert_eq!(
        refusal_code(&outcome.verdict),
        Some("unknown-key not-run".to_owned())
    );
    site.close().await;
}

fn refusal_code(verdict: &CallVerdict) -> Option<String> {
    match verdict {
        CallVerdict::Refused(refusal) => Some(format!("{} {}", refusal.code, refusal.ran)),
        _ => None,
    }
}

fn check_settings(text: &str) -> Output {
    let dir = tempfile::tempdir().expect("a directory for the settings");
    let file = dir.path().join("daemon.ini");
    fs::write(&file, text).expect("the settings are written");
    Command::new(PROGRAM)
        .arg("--check")
        .arg("--settings")
        .arg(&file)
        .output()
        .expect("the program runs")
}

#[test]
fn wrong_settings_are_all_reported_at_once() {
    let output = check_settings(
        "[daemon]\nname = a\ndata-center = ne1\ncallers = 127.0.0.1:99999\n\
         operators = 127.0.0.1:1\npeers = 127.0.0.1:1\nrelay = 127.0.0.1:2\n[timeouts]\nconnect = 5\n",
    );
    let findings = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{findings}");
    for part in [
        "data-centre",
        "callers",
        "[timeouts] connect",
        "[fleet]",
        "[store]",
    ] {
        assert!(findings.contains(part), "{part} is missing in: {findings}");
    }
}
