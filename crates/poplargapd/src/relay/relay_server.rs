//! Serves requests from entry daemons for the shards that this daemon owns.

use {
    super::{KEEP_ALIVE_COMMENT, REFUSAL_EVENT, SILENCE_MAX_MS, STATUS_HEADER, UPSTREAM_COMMENT},
    crate::{
        body,
        metrics::DaemonMetrics,
        server,
        shards::{AnswerFrame, ChatTask, ServiceRequest, ServiceTask},
    },
    bytes::{Buf, Bytes},
    futures::{Stream, stream},
    poplargap_link::{
        envelope::{
            ENVELOPE_HEADER, PROOF_HEADER, RefusalReason, RelayEnvelope, RelayRefusal, RelayWork,
            UPSTREAM_HEADER,
        },
        proof::FleetProof,
    },
    std::{io, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::mpsc, time},
    warp::{
        Filter, Reply,
        http::{HeaderValue, StatusCode, header::CONTENT_TYPE},
        reply::Response,
    },
};

const KEEP_ALIVE: Duration = Duration::from_millis(SILENCE_MAX_MS / 3);

/// Settings and services of the relay listener.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Longest accepted body, in bytes.
    pub body_max: u64,
    /// The daemon's metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// Proof that entry daemons must send.
    pub proof: FleetProof,
    /// Runs chats and calls at upstreams.
    pub task: ChatTask,
}

/// The running relay listener.
#[derive(Debug)]
pub struct RelayServer(server::HttpServer);

impl RelayServer {
    /// Starts serving requests on `listener`.
    #[must_use]
    pub fn start(settings: RelaySettings, listener: TcpListener) -> Self {
        let settings = warp::any().map(move || settings.clone());
        let route = warp::path!("v1" / "relay")
            .and(warp::post())
            .and(settings)
            .and(warp::header::optional(PROOF_HEADER))
            .and(warp::header::optional(ENVELOPE_HEADER))
            .and(warp::body::stream())
            .then(serve);
        Self(server::HttpServer::start(route, listener))
    }

    /// Accepts no more connections and waits up to `grace` for requests in flight.
    pub async fn close(self, grace: Duration) {
        self.0.close(grace).await;
    }
}

async fn serve<B, D, E>(
    settings: RelaySettings,
    proof: Option<String>,
    envelope: Option<String>,
    body: B,
) -> Response
where
    B: Stream<Item = Result<D, E>> + Send,
    D: Buf,
{
    if !proof.is_some_and(|proof| settings.proof.matches(&proof)) {
        settings
            .metrics
            .peers_refused
            .with_label_values(&["relay"])
            .inc();
        return StatusCode::UNAUTHORIZED.into_response();
    }
    let envelope = envelope.unwrap_or_default();
    let Ok(envelope) = serde_json::from_str::<RelayEnvelope>(&envelope) else {
        return refuse(&RelayRefusal::not_run(RefusalReason::Unreadable));
    };
    let Ok(body) = body::collect(body, settings.body_max).await else {
        return refuse(&RelayRefusal::not_run(RefusalReason::Unreadable));
    };
    match envelope.work {
        RelayWork::Chat { .. } => stream_chat(settings.task.start(envelope, body)),
        RelayWork::Service { .. } => {
            let call = ServiceRequest { body, envelope };
            serve_call(ServiceTask::new(settings.task), call).await
        }
    }
}

/// Makes the call in a separate task, so that an entry daemon's disconnect doesn't interrupt it.
async fn serve_call(task: ServiceTask, call: ServiceRequest) -> Response {
    let handle = tokio::spawn(async move { task.run(&call).await });
    let Ok(result) = handle.await else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let answer = match result {
        Ok(answer) => answer,
        Err(refusal) => return refuse(&refusal),
    };
    let mut response = Response::new(answer.body.into());
    let headers = response.headers_mut();
    headers.insert(STATUS_HEADER, HeaderValue::from(answer.status));
    if let Ok(upstream) = HeaderValue::from_str(answer.upstream.as_str()) {
        headers.insert(UPSTREAM_HEADER, upstream);
    }
    headers.remove(CONTENT_TYPE);
    if let Some(content_type) = answer
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok())
    {
        headers.insert(CONTENT_TYPE, content_type);
    }
    response
}

fn refuse(refusal: &RelayRefusal) -> Response {
    let reply = warp::reply::json(refusal);
    warp::reply::with_status(reply, StatusCode::MISDIRECTED_REQUEST).into_response()
}

fn stream_chat(frames: mpsc::Receiver<AnswerFrame>) -> Response {
    let mut response = warp::reply::stream(encode(frames)).into_response();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

struct EncodeState {
    at_boundary: bool,
    frames: mpsc::Receiver<AnswerFrame>,
}

/// Writes frames as an event stream, which ends with an error if the answer is incomplete.
fn encode(
    frames: mpsc::Receiver<AnswerFrame>,
) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + Sync {
    let state = EncodeState {
        at_boundary: true,
        frames,
    };
    stream::unfold(Some(state), |state| async move {
        let mut state = state?;
        loop {
            match time::timeout(KEEP_ALIVE, state.frames.recv()).await {
                Err(_elapsed) if !state.at_boundary => {}
                Err(_elapsed) => {
                    return Some((Ok(Bytes::from_static(KEEP_ALIVE_COMMENT)), Some(state)));
                }
                Ok(Some(AnswerFrame::Chunk(chunk))) => {
                    state.at_boundary = chunk.ends_with(b"\n\n");
                    return Some((Ok(chunk), Some(state)));
                }
                Ok(Some(AnswerFrame::Upstream(upstream))) => {
                    let comment =
                        [UPSTREAM_COMMENT, upstream.as_str().as_bytes(), b"\n\n"].concat();
                    return Some((Ok(Bytes::from(comment)), Some(state)));
                }
                Ok(Some(AnswerFrame::Refused(refusal))) => {
                    return Some((encode_refusal(&refusal, &state), None));
                }
                Ok(Some(AnswerFrame::Ended)) => return None,
                Ok(None) => return Some((Err(io::ErrorKind::ConnectionAborted.into()), None)),
            }
        }
    })
}

fn encode_refusal(refusal: &RelayRefusal, state: &EncodeState) -> Result<Bytes, io::Error> {
    let text = serde_json::to_vec(refusal).map_err(io::Error::other)?;
    let start: &[u8] = if state.at_boundary { b"" } else { b"\n\n" };
    Ok(Bytes::from([start, REFUSAL_EVENT, &text, b"\n\n"].concat()))
}
