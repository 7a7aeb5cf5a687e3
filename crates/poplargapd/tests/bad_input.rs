//! Bad input on every listener of a daemon, and callers that stop reading or disconnect.

use {
    poplargap_testbed::{
        engine::RunOutcome,
        site::{EmbeddedSite, SitePlan},
    },
    reqwest::{Client, RequestBuilder, redirect::Policy},
    serde_json::{Value, json},
    socket2::{Domain, Socket, Type},
    std::{
        net::SocketAddr,
        panic,
        sync::atomic::{AtomicUsize, Ordering},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        time,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

const ANSWER_WAIT: Duration = Duration::from_millis(50);
const CLEANUP_MAX: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);
const RANDOM_ROUNDS: u64 = 16;
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
const SEGMENT_BYTES: u32 = 536;

/// Requests that are truncated, contradictory or violate the grammar of HTTP.
const MALFORMED_REQUESTS: [&[u8]; 10] = [
    b"GET",
    b"POST /v1/chat/completions HTTP/1.1\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{",
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
    b"POST /v1/relay HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nZZ\r\n",
    b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
    b"GET /v1/services/%00/../.. HTTP/1.1\r\nhost: x\r\n\r\n",
    b"GET /v1/explain/%ff%fe HTTP/1.1\r\nauthorization: Bearer \xff\xfe\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\xff\x04\x00\x00\x00\x00\x00",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
];

fn plan() -> SitePlan {
    let mut plan = SitePlan::new(&["ne1"], 1, 1, 1, 2);
    plan.extra_settings = String::from("[timeouts]\ndrain = 2s\nwrite = 1s\n");
    plan.engine.decode_base = Duration::from_millis(1);
    plan.engine.decode_slope = Duration::ZERO;
    plan
}

async fn start() -> EmbeddedSite {
    EmbeddedSite::start(&plan()).await.expect("the site starts")
}

fn client() -> Client {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .timeout(Duration::from_secs(10))
        .build()
        .expect("the client is set up")
}

fn chat(site: &EmbeddedSite) -> RequestBuilder {
    let url = format!("http://{}/v1/chat/completions", site.callers()[0]);
    client().post(url).bearer_auth("key-of-w01")
}

fn body(model: &str) -> Value {
    json!({"model": model, "messages": [{"role": "user", "content": "hello"}], "max_tokens": 2})
}

/// Returns the status and the problem details of a refused request.
async fn problem(request: RequestBuilder) -> (u16, Value) {
    let response = request.send().await.expect("the daemon answers");
    let status = response.status().as_u16();
    let kind = response.headers().get("content-type").cloned();
    let kind = kind.expect("the refusal has a content type");
    assert_eq!(kind, "application/problem+json");
    let text = response.text().await.expect("the refusal is whole");
    let problem: Value = serde_json::from_str(&text).expect("the refusal is JSON");
    assert_eq!(problem["status"], status);
    assert_eq!(problem["ran"], "not-run");
    (status, problem)
}

async fn metrics(site: &EmbeddedSite) -> String {
    let url = format!("http://{}/metrics", site.operators()[0]);
    let response = client().get(url).send().await.expect("the daemon answers");
    response.text().await.expect("the metrics are whole")
}

async fn is_ready(site: &EmbeddedSite) -> bool {
    let url = format!("http://{}/readyz", site.operators()[0]);
    let response = client().get(url).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

/// Writes bytes and reads the answer until the listener closes the connection or sends no more.
async fn write_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the listener takes connections");
    // A listener may close before it has read everything.
    drop(stream.write_all(bytes).await);
    let mut answer = Vec::new();
    drop(time::timeout(ANSWER_WAIT, stream.read_to_end(&mut answer)).await);
    answer
}

fn random_bytes(seed: u64) -> Vec<u8> {
    let len = xxh3_64_with_seed(b"len", seed) % 4_096;
    (0..len)
        .map(|position| xxh3_64_with_seed(&position.to_le_bytes(), seed).to_le_bytes()[0])
        .collect()
}

fn listeners(site: &EmbeddedSite) -> Vec<SocketAddr> {
    [
        site.callers(),
        site.operators(),
        site.peer_listeners(),
        site.relay_listeners(),
    ]
    .concat()
}

/// Counts panics of all tasks, including detached ones.
static PANICS: AtomicUsize = AtomicUsize::new(0);

fn count_panics() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        default_hook(info);
    }));
}

#[tokio::test(flavor = "multi_thread")]
async fn random_bytes_and_malformed_requests_leave_the_daemon_ready() {
    count_panics();
    let site = start().await;
    for address in listeners(&site) {
        let random = (0..RANDOM_ROUNDS).map(random_bytes);
        let malformed = MALFORMED_REQUESTS.iter().map(|bytes| bytes.to_vec());
        let writes: Vec<Vec<u8>> = random.chain(malformed).collect();
        let sent = writes.iter().map(|bytes| write_raw(address, bytes));
        futures::future::join_all(sent).await;
        assert!(is_ready(&site).await, "after bytes on {address}");
    }
    let answer = chat(&site).header("poplargap-class", "w01.notes");
    let answer = answer.json(&body("curve")).send().await;
    assert_eq!(answer.expect("the daemon answers").status(), 200);
    site.close().await;
    assert_eq!(PANICS.load(Ordering::Relaxed), 0, "a task panicked");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_callers_have_stable_codes() {
    let site = start().await;
    let (status, refusal) = problem(chat(&site).body("{\"model\":")).await;
    assert_eq!(
        (status, &refusal["code"]),
        (400, &json!("malformed-request"))
    );
    let empty = json!({"model": "curve", "messages": []});
    let (status, refusal) = problem(chat(&site).json(&empty)).await;
    assert_eq!(
        (status, &refusal["code"]),
        (400, &json!("malformed-request"))
    );
    let (status, refusal) = problem(chat(&site).json(&body("kurve"))).await;
    assert_eq!((status, &refusal["code"]), (404, &json!("unknown-pool")));
    assert!(
        refusal["detail"]
            .as_str()
            .is_some_and(|text| text.contains("`curve`"))
    );
    let url = format!("http://{}/v1/chat/completions", site.callers()[0]);
    let unknown_key = client().post(url).bearer_auth("no-such-key");
    let (status, refusal) = problem(unknown_key.json(&body("curve"))).await;
    assert_eq!((status, &refusal["code"]), (401, &json!("unknown-key")));
    let foreign = chat(&site).header("poplargap-class", "w02.notes");
    let (status, refusal) = problem(foreign.json(&body("curve"))).await;
    assert_eq!((status, &refusal["code"]), (403, &json!("unknown-class")));
    let without_class = chat(&site).json(&body("curve"));
    let (status, refusal) = problem(without_class).await;
    assert_eq!((status, &refusal["code"]), (400, &json!("class-required")));
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn any_body_is_answered_with_a_problem() {
    let site = start().await;
    let whole = body("curve").to_string().into_bytes();
    let truncated = (0..whole.len()).map(|len| whole[..len].to_vec());
    let random = (0..RANDOM_ROUNDS).map(random_bytes);
    let invalid = ["null", "[]", "{}", "0", "\"text\"", "{\"model\":{}}"];
    let invalid = invalid.iter().map(|text| text.as_bytes().to_vec());
    for bytes in truncated.chain(random).chain(invalid) {
        let request = chat(&site).header("poplargap-class", "w01.notes");
        let (status, refusal) = problem(request.body(bytes.clone())).await;
        let code = &refusal["code"];
        assert_eq!(
            (status, code),
            (400, &json!("malformed-request")),
            "{bytes:?}"
        );
    }
    assert!(is_ready(&site).await);
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_bad_headers_are_reported_together() {
    let site = start().await;
    let bad = reqwest::header::HeaderValue::from_bytes(b"\xff\xfe").expect("opaque bytes");
    let request = chat(&site)
        .header("x-request-id", "white space")
        .header("x-chat-id", bad)
        .header("poplargap-class", "w01/notes")
        .header("x-deadline-ms", "soon")
        .header("idempotency-key", "a b");
    let (status, refusal) = problem(request.json(&body("curve"))).await;
    assert_eq!(
        (status, &refusal["code"]),
        (400, &json!("malformed-request"))
    );
    let detail = refusal["detail"].as_str().expect("the detail is text");
    for name in [
        "x-request-id",
        "x-chat-id",
        "poplargap-class",
        "x-deadline-ms",
        "idempotency-key",
    ] {
        assert!(detail.contains(name), "{name} is missing in {detail}");
    }
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_operator_token_is_refused() {
    let site = start().await;
    for path in ["v1/status", "v1/explain/some-request"] {
        let url = format!("http://{}/{path}", site.operators()[0]);
        let none = client().get(&url).send().await.expect("the daemon answers");
        assert_eq!(none.status(), 401, "{path} without a token");
        let wrong = client().get(&url).bearer_auth("wrong").send().await;
        assert_eq!(wrong.expect("the daemon answers").status(), 401, "{path}");
    }
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_fleet_proof_is_refused_and_counted() {
    let site = start().await;
    let url = format!("http://{}/v1/relay", site.relay_listeners()[0]);
    let none = client().post(&url).body("{}").send().await;
    assert_eq!(none.expect("the daemon answers").status(), 401);
    let wrong = client().post(&url).header("x-poplargap-proof", "00");
    assert_eq!(
        wrong.send().await.expect("the daemon answers").status(),
        401
    );
    let call = json!({
        "jsonrpc": "2.0",
        "id": 1,
        "method": "fleet_catalogue_since",
        "params": ["00", 0, null],
    });
    let url = format!("http://{}/", site.peer_listeners()[0]);
    let answer = client().post(url).json(&call).send().await;
    let text = answer.expect("the daemon answers").text().await;
    let text = text.expect("the answer is whole");
    assert!(text.contains("no proof of the fleet"), "{text}");
    let metrics = metrics(&site).await;
    for (reason, count) in [("relay", 2), ("rpc", 1)] {
        let line = format!("poplargap_peers_refused_total{{reason=\"{reason}\"}} {count}");
        assert!(metrics.contains(&line), "{line} is missing");
    }
    site.close().await;
}

/// Creates a socket with small buffers on both sides.
fn small_socket() -> TcpSocket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is free");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("the size is set");
    // The sender's buffer grows with the size of a segment, which is 64 KiB on loopback.
    socket.set_tcp_mss(SEGMENT_BYTES).expect("the size is set");
    socket.set_nonblocking(true).expect("the mode is set");
    TcpSocket::from_std_stream(socket.into())
}

/// Sends a streamed chat with a long answer and reads the first bytes of the answer.
async fn open_stream(site: &EmbeddedSite, id: &str) -> TcpStream {
    let body = json!({
        "model": "curve",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 1_000_000,
        "stream": true,
    })
    .to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-of-w01\r\n\
         poplargap-class: w01.notes\r\nx-request-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let socket = small_socket();
    let mut stream = socket
        .connect(site.callers()[0])
        .await
        .expect("the listener takes connections");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    let mut start = [0; 12];
    stream
        .read_exact(&mut start)
        .await
        .expect("the answer starts");
    assert_eq!(&start, b"HTTP/1.1 200");
    stream
}

/// Waits until the engine has cancelled its only run and the daemon has no request in flight.
async fn wait_for_cleanup(site: &mut EmbeddedSite) {
    let begun = Instant::now();
    loop {
        let in_flight = site.daemons()[0].in_flight_gauge()();
        let engine = site.upstreams().engines[0].as_ref().expect("it runs");
        let ledger = engine.ledger().await.expect("the engine answers");
        let outcomes: Vec<RunOutcome> = ledger.runs.iter().map(|run| run.outcome).collect();
        if in_flight == 0 && outcomes == [RunOutcome::Cancelled] {
            return;
        }
        assert!(
            begun.elapsed() < CLEANUP_MAX,
            "{in_flight} in flight, {outcomes:?}"
        );
        time::sleep(POLL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_stops_reading_frees_everything() {
    let mut site = start().await;
    let stream = open_stream(&site, &"slow-caller-".repeat(10)).await;
    wait_for_cleanup(&mut site).await;
    assert!(metrics(&site).await.contains("caller-slow"));
    drop(stream);
    assert!(is_ready(&site).await);
    site.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_disconnects_frees_everything() {
    let mut site = start().await;
    drop(open_stream(&site, "lost-caller").await);
    wait_for_cleanup(&mut site).await;
    assert!(metrics(&site).await.contains("caller-gone"));
    assert!(is_ready(&site).await);
    site.close().await;
}
