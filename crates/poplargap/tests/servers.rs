//! Commands against failing stores and against daemons, run as processes.

mod support;

use {
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc},
    support::console::{Console, open_with_catalogue},
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::Mutex,
        task::JoinHandle,
    },
    warp::{Filter, Reply, http::StatusCode, hyper::body::Bytes, path::FullPath, reply::Response},
};

#[tokio::test]
async fn unreachable_store_is_a_failure() {
    let closed = ClosedPort::hold();
    let console = open_with_catalogue()
        .await
        .with_store(Some(closed.address()));
    console
        .run("apply whole.ini")
        .await
        .status(1)
        .stdout("")
        .stderr_start("error: the store can't be read: nothing was sent: ");
    let console = console.with_store(None);
    console
        .run("get")
        .await
        .status(2)
        .stdout("")
        .stderr("error: no store is named; give `--store ADDRESS` or set POPLARGAP_STORE\n");
    console.close().await;
}

#[tokio::test]
async fn outcome_that_stays_unknown_has_its_own_exit_code() {
    let (address, server) = serve(failing_store()).await;
    let console = Console::open().await.with_store(Some(address));
    console.file("a.ini", "[data-centre bangor]\n[data-centre conwy]\n");
    console
        .run("apply --settle 200ms a.ini")
        .await
        .status(4)
        .stdout("not tried `data-centre conwy`\n")
        .stderr(
            "error: it isn't known whether version 1 (write WRITE) of `data-centre bangor` took \
             effect, and it may still do so: the store refused the call with status 500; \
             `poplargap history data-centre bangor` shows it once it has\n",
        );
    server.abort();
    console.close().await;
}

#[tokio::test]
async fn lost_answer_is_resolved_before_the_outcome_is_printed() {
    for loss in [AnswerLoss::Applied, AnswerLoss::Delayed] {
        let console = Console::open().await;
        let (address, server) = serve(lossy_store(console.store_address(), loss)).await;
        let console = console.with_store(Some(address));
        console.file("a.ini", "[data-centre bangor]\n");
        console
            .run("apply a.ini")
            .await
            .status(0)
            .stderr("")
            .stdout("accepted `data-centre bangor` as version 1 (write WRITE) at revision 1\n");
        console
            .run("history data-centre bangor")
            .await
            .status(0)
            .stdout("# version 1 (write WRITE)\n[data-centre bangor]\n\n");
        server.abort();
        console.close().await;
    }
}

#[tokio::test]
async fn status_lists_the_oldest_revision_first() {
    let (new, new_server) = serve(daemon("entry-1", 12)).await;
    let (old, old_server) = serve(daemon("entry-2", 9)).await;
    let console = Console::open().await;
    let command = format!("status --daemon {new} --daemon {old}");
    console
        .run(&command)
        .await
        .status(0)
        .stderr("")
        .stdout(&format!(
            "revision 9, ready, 0 in flight: entry-2 in bangor at {old}\n\
         revision 12, ready, 0 in flight: entry-1 in bangor at {new}\n"
        ));
    let closed = ClosedPort::hold();
    let unreachable = closed.address();
    let lines = console
        .run(&format!("--json {command} --daemon {unreachable}"))
        .await
        .status(1)
        .stderr("{\"exit-code\":1,\"message\":\"1 of 3 daemons gave no status\"}\n")
        .text();
    let addresses: Vec<String> = lines
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("each line is JSON"))
        .map(|line| {
            line["address"]
                .as_str()
                .expect("it has an address")
                .to_owned()
        })
        .collect();
    assert_eq!(
        addresses,
        [unreachable.to_string(), old.to_string(), new.to_string()]
    );
    old_server.abort();
    new_server.abort();
    console.close().await;
}

#[tokio::test]
async fn explain_shows_what_daemons_did() {
    let (one, one_server) = serve(daemon("entry-1", 12)).await;
    let (two, two_server) = serve(daemon("entry-2", 9)).await;
    let console = Console::open().await;
    let daemons = format!("--daemon {one} --daemon {two}");
    let steps = "  identified as class `bench-notes`
  refused by the home of shard `curves/bangor/0`: every upstream of the shard is at its bound
  placed on upstream `curves-1` of shard `curves/bangor/1`
  settled: complete
";
    console
        .run(&format!("explain {daemons} r1"))
        .await
        .status(0)
        .stderr("")
        .stdout(&format!("r1 at {one}:\n{steps}r1 at {two}:\n{steps}"));
    console
        .run(&format!("explain {daemons} r2"))
        .await
        .status(1)
        .stdout("")
        .stderr("error: no daemon that answered knows the request `r2`\n");
    one_server.abort();
    two_server.abort();
    console.close().await;
}

/// When the first write takes effect; its answer is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerLoss {
    /// The write takes effect at once.
    Applied,
    /// The write reaches the store after the next one.
    Delayed,
}

/// Forwards calls to a store, and loses the answer to the first write.
fn lossy_store(
    store: SocketAddr,
    loss: AnswerLoss,
) -> impl Filter<Extract = (impl warp::Reply,), Error = warp::Rejection> + Clone + Send + Sync + 'static
{
    let writes: Arc<Mutex<Vec<Bytes>>> = Arc::default();
    let read = warp::get()
        .and(warp::path::full())
        .and(warp::query::raw())
        .then(move |path: FullPath, query: String| async move {
            let url = format!("http://{store}{}?{query}", path.as_str());
            let answer = reqwest::get(url).await.expect("the store answers");
            relay_answer(answer).await
        });
    let write = warp::post()
        .and(warp::path!("v1" / "kv-txn"))
        .and(warp::body::bytes())
        .then(move |body: Bytes| {
            let writes = Arc::clone(&writes);
            async move {
                let mut writes = writes.lock().await;
                writes.push(body.clone());
                let first = writes.len() == 1;
                if first && loss == AnswerLoss::Delayed {
                    return StatusCode::INTERNAL_SERVER_ERROR.into_response();
                }
                let answer = relay_answer(transact(store, body).await).await;
                if first {
                    return StatusCode::INTERNAL_SERVER_ERROR.into_response();
                }
                if writes.len() == 2 && loss == AnswerLoss::Delayed {
                    let late = transact(store, writes[0].clone()).await;
                    assert_eq!(late.status(), StatusCode::PRECONDITION_FAILED);
                }
                answer
            }
        });
    read.or(write)
}

async fn relay_answer(answer: reqwest::Response) -> Response {
    let status = answer.status();
    let body = answer.bytes().await.expect("the answer is whole");
    warp::reply::with_status(body.to_vec(), status).into_response()
}

async fn transact(store: SocketAddr, body: Bytes) -> reqwest::Response {
    let url = format!("http://{store}/v1/kv-txn");
    let request = reqwest::Client::new()
        .post(url)
        .header("content-type", "application/json")
        .body(body);
    request.send().await.expect("the store answers")
}

/// A port that is bound without a listener, so that connections to it are refused.
struct ClosedPort(TcpSocket);

impl ClosedPort {
    fn hold() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket can be made");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(address).expect("a port is free");
        Self(socket)
    }

    fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("the port is known")
    }
}

/// Stand-in of a daemon's listener for operators.
fn daemon(
    name: &'static str,
    revision: u64,
) -> impl Filter<Extract = (impl warp::Reply,), Error = warp::Rejection> + Clone + Send + 'static {
    let authorised = warp::header::exact("authorization", "Bearer fedcba9876543210");
    let status = warp::path!("v1" / "status").map(move || {
        warp::reply::json(&json!({
            "daemon": name, "data-centre": "bangor", "members-ready": [name],
            "requests-in-flight": 0, "revision": revision, "state": "ready",
        }))
    });
    let explain = warp::path!("v1" / "explain" / "r1").map(move || {
        warp::reply::json(&json!({
            "id": "r1",
            "steps": [
                {"step": "identified", "class": "bench-notes"},
                {"step": "refused", "reason": "full", "shard": "curves/bangor/0"},
                {"step": "placed", "shard": "curves/bangor/1", "upstream": "curves-1"},
                {"step": "settled", "outcome": "complete"},
            ],
        }))
    });
    authorised.and(status.or(explain))
}

async fn serve<F>(routes: F) -> (SocketAddr, JoinHandle<()>)
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the port is known");
    let server = warp::serve(routes).incoming(listener).run();
    (address, tokio::spawn(server))
}

/// Stand-in of an empty store that answers writes with status 500, so that their outcome is unknown.
fn failing_store()
-> impl Filter<Extract = (impl warp::Reply,), Error = warp::Rejection> + Clone + Send + Sync + 'static
{
    let list = warp::path!("v1" / "kv-range")
        .map(|| warp::reply::json(&json!({"entries": [], "hasMore": false, "at": 0})));
    let get =
        warp::path!("v1" / "kv-key").map(|| warp::reply::with_status("", StatusCode::NOT_FOUND));
    let write = warp::path!("v1" / "kv-txn")
        .and(warp::post())
        .map(|| warp::reply::with_status("", StatusCode::INTERNAL_SERVER_ERROR));
    list.or(get).or(write)
}
