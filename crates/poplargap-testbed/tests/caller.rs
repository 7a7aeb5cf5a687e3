//! Tests of the verdicts of a caller on the answers of a scripted daemon.

use {
    poplargap_testbed::{
        caller::{CallVerdict, CallerClient, ChatOutcome, ChatSession, ChatTurn, RanState},
        engine::{AnswerScript, ChatChunk, ChatRequest, UsageRecord},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, sync::mpsc},
    warp::{
        Filter,
        http::{HeaderMap, Response},
    },
};

const REQUEST_ID: &str = "r1";

/// Status and body with which a scripted daemon answers a request whose complete answer is `script`.
type Answer = fn(&AnswerScript) -> (u16, String);

fn event(id: &str, index: usize, content: String, last: bool) -> String {
    let chunk = ChatChunk::token(id, index, content, last);
    let json = serde_json::to_string(&chunk).expect("a chunk is serialisable");
    format!("id: {index}\ndata: {json}\n\n")
}

/// Returns the events of the tokens in `range`.
fn token_events(script: &AnswerScript, range: std::ops::Range<usize>) -> String {
    range
        .map(|index| {
            event(
                REQUEST_ID,
                index,
                script.token(index),
                index + 1 == script.len(),
            )
        })
        .collect()
}

fn final_events() -> String {
    let chunk = ChatChunk::usage(REQUEST_ID, UsageRecord::default());
    let json = serde_json::to_string(&chunk).expect("a chunk is serialisable");
    format!("data: {json}\n\ndata: [DONE]\n\n")
}

/// Starts a daemon that responds with `answer`; the receiver gets the headers of each request.
async fn start_daemon(answer: Answer) -> (SocketAddr, mpsc::UnboundedReceiver<HeaderMap>) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port exists");
    let address = listener.local_addr().expect("the listener has an address");
    let (header_tx, header_rx) = mpsc::unbounded_channel();
    let routes = warp::header::headers_cloned().and(warp::body::json()).map(
        move |headers: HeaderMap, request: ChatRequest| {
            header_tx
                .send(headers)
                .expect("the test holds the receiver");
            let (status, body) = answer(&AnswerScript::of_request(&request));
            Response::builder()
                .status(status)
                .header("poplargap-route", "dc1/e3")
                .body(body)
        },
    );
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    (address, header_rx)
}

async fn ask(answer: Answer) -> ChatOutcome {
    let (address, _header_rx) = start_daemon(answer).await;
    let mut session = ChatSession::new("chat", "curve");
    caller().chat(address, &mut session, &turn()).await
}

fn caller() -> CallerClient {
    CallerClient::new("secret", Duration::from_secs(2)).expect("the client can be set up")
}

fn turn() -> ChatTurn {
    ChatTurn {
        class: Some("note".to_owned()),
        content: "hello".to_owned(),
        max_tokens: 8,
        request_id: REQUEST_ID.to_owned(),
        stream: true,
        ..ChatTurn::default()
    }
}

#[tokio::test]
async fn a_chat_request_has_its_key_its_class_and_the_last_routing_hint() {
    let complete: Answer = |script| (200, token_events(script, 0..script.len()) + &final_events());
    let (address, mut header_rx) = start_daemon(complete).await;
    let mut session = ChatSession::new("chat", "curve");
    for _ in 0..2 {
        let outcome = caller().chat(address, &mut session, &turn()).await;
        assert_eq!(outcome.verdict, CallVerdict::Complete);
    }
    let first = header_rx.recv().await.expect("the daemon got a request");
    let second = header_rx.recv().await.expect("the daemon got two requests");
    assert_eq!(first["authorization"], "Bearer secret");
    assert_eq!(first["poplargap-class"], "note");
    assert_eq!(first["x-chat-id"], "chat");
    assert_eq!(first["x-request-id"], REQUEST_ID);
    assert!(!first.contains_key("poplargap-route"));
    assert_eq!(second["poplargap-route"], "dc1/e3");
    assert_eq!(session.messages.len(), 4);
    assert!(!format!("{:?}", caller()).contains("secret"));
}

#[tokio::test]
async fn an_unexpected_text_or_request_id_is_foreign() {
    let text: Answer = |_| (200, event(REQUEST_ID, 0, "stranger ".to_owned(), false));
    let request_id: Answer = |script| (200, event("r2", 0, script.token(0), false));
    let too_long: Answer = |script| {
        let events = token_events(script, 0..script.len() + 1);
        (200, events + &final_events())
    };
    for answer in [text, request_id, too_long] {
        let outcome = ask(answer).await;
        assert!(
            matches!(outcome.verdict, CallVerdict::Foreign { .. }),
            "{:?}",
            outcome.verdict
        );
    }
}

#[tokio::test]
async fn an_incomplete_or_reordered_stream_is_broken() {
    let cut: Answer = |script| (200, token_events(script, 0..2));
    let ended: Answer = |script| (200, token_events(script, 0..2) + &final_events());
    let repeated: Answer = |script| {
        (
            200,
            token_events(script, 0..2) + &token_events(script, 1..3),
        )
    };
    let skipped: Answer = |script| {
        (
            200,
            token_events(script, 0..1) + &token_events(script, 2..3),
        )
    };
    for answer in [cut, ended, repeated, skipped] {
        let outcome = ask(answer).await;
        assert!(
            matches!(outcome.verdict, CallVerdict::Broken { .. }),
            "{:?}",
            outcome.verdict
        );
    }
}

#[tokio::test]
async fn refusals_by_status_and_within_a_stream_report_whether_the_call_ran() {
    const PROBLEM: &str = r#"{"type":"about:blank","title":"Lost","status":502,"code":"lost","detail":"","ran":"ran"}"#;
    let by_status: Answer = |_| (502, PROBLEM.to_owned());
    let within_stream: Answer = |script| {
        let error = format!("event: error\ndata: {PROBLEM}\n\n");
        (200, token_events(script, 0..2) + &error)
    };
    for answer in [by_status, within_stream] {
        let CallVerdict::Refused(refusal) = ask(answer).await.verdict else {
            panic!("the call was not refused");
        };
        assert_eq!(
            (refusal.code.as_str(), refusal.ran),
            ("lost", RanState::Ran)
        );
    }
}

#[tokio::test]
async fn a_daemon_with_a_closed_port_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port exists");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let mut session = ChatSession::new("chat", "curve");
    let outcome = caller().chat(address, &mut session, &turn()).await;
    assert!(
        matches!(outcome.verdict, CallVerdict::Unreachable { .. }),
        "{:?}",
        outcome.verdict
    );
}
