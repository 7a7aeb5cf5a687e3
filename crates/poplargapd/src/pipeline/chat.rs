//! Serves chat completions, streamed or whole.

use {
    super::{
        AnswerRelay, CallerRequest, Identity, ProblemCode, RequestContext, RequestGuard,
        RequestProblem, answer_relay::ChatWork, problem::REQUEST_ID_HEADER, request::ROUTE_HEADER,
    },
    bytes::Bytes,
    futures::stream,
    poplargap_core::{
        answer::CompletionBuilder,
        catalogue::PoolKind,
        name::{RequestId, WorkspaceName},
        retry::RunOutcome,
    },
    serde::Deserialize,
    serde_json::{Value, json, value::RawValue},
    std::{borrow::Cow, convert::Infallible, sync::Arc, time::Duration},
    tokio::{sync::mpsc, time},
    warp::{
        Reply,
        http::{
            HeaderValue,
            header::{CACHE_CONTROL, CONTENT_TYPE},
        },
        reply::Response,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Groups of events that are buffered for a slow caller.
const EVENT_GROUPS_MAX: usize = 16;

/// Tokens assumed for an answer whose request sets no bound.
const DEFAULT_ANSWER_TOKENS: u64 = 4_096;

#[derive(Deserialize)]
struct ChatBody<'a> {
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: bool,
}

/// Serves one chat completion.
pub(super) async fn serve<S: Send + Sync + 'static>(
    context: Arc<RequestContext<S>>,
    request: CallerRequest,
    body: Bytes,
    mut guard: RequestGuard<S>,
) -> Response {
    let id = request.id.clone();
    let (work, streamed) = match prepare(&context, request, body, &mut guard) {
        Ok(prepared) => prepared,
        Err(problem) => return refuse(problem, &id, guard),
    };
    let write_timeout = context.write_timeout;
    match context.admit_class(&work.identity, work.tokens_max).await {
        Ok(pass) => guard.hold_pass(pass),
        Err(problem) => return refuse(problem, &id, guard),
    }
    let mut relay = AnswerRelay::new(context, work);
    if let Err(problem) = relay.open(&mut guard).await {
        return refuse(problem, &id, guard);
    }
    if streamed {
        stream_answer(relay, id, guard, write_timeout)
    } else {
        whole_answer(relay, &id, guard).await
    }
}

/// Ends a request with a refusal.
pub(super) fn refuse<S>(
    problem: RequestProblem,
    id: &RequestId,
    mut guard: RequestGuard<S>,
) -> Response {
    if problem.ran == RunOutcome::NotRun {
        guard.release_pass();
    }
    guard.close(problem.code.into());
    problem.into_response(id)
}

fn prepare<S>(
    context: &Arc<RequestContext<S>>,
    request: CallerRequest,
    body: Bytes,
    guard: &mut RequestGuard<S>,
) -> Result<(ChatWork, bool), RequestProblem> {
    let malformed = |detail: String| RequestProblem::not_run(ProblemCode::MalformedRequest, detail);
    let chat: ChatBody<'_> = serde_json::from_slice(&body)
        .map_err(|error| malformed(format!("the body is no chat completion: {error}")))?;
    let first = chat
        .messages
        .first()
        .ok_or_else(|| malformed("messages: the list is empty".to_owned()))?;
    let catalogue = Arc::clone(&context.catalogue.borrow());
    let identity = Identity::find(&request, &catalogue, &chat.model, PoolKind::Model)?;
    guard.set_class(identity.class.name.as_str());
    let key = placement_key(&request, &identity.class.owner, first);
    let streamed = chat.stream;
    let answer_max = chat
        .max_completion_tokens
        .or(chat.max_tokens)
        .unwrap_or(DEFAULT_ANSWER_TOKENS);
    // A token takes at least one byte, so the body's length bounds the prompt's tokens.
    let tokens_max = answer_max.saturating_add(body.len() as u64);
    let body = if streamed {
        body
    } else {
        as_streamed(&body).map_err(malformed)?
    };
    let CallerRequest { chat, hint, id, .. } = request;
    Ok((
        ChatWork {
            body,
            chat,
            hint,
            id,
            identity,
            key,
            tokens_max,
        },
        streamed,
    ))
}

/// Returns the key by which a chat is placed, which is the same for all its turns.
fn placement_key(request: &CallerRequest, workspace: &WorkspaceName, first: &RawValue) -> String {
    match &request.chat {
        Some(chat) => format!("{workspace}/{chat}"),
        None => format!("{workspace}/{:016x}", xxh3_64(first.get().as_bytes())),
    }
}

/// Rewrites the body so that the upstream streams its answer, which can then be resumed.
fn as_streamed(body: &[u8]) -> Result<Bytes, String> {
    let mut value: Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let Some(object) = value.as_object_mut() else {
        return Err("the body is no JSON object".to_owned());
    };
    object.insert("stream".to_owned(), Value::Bool(true));
    object.insert("stream_options".to_owned(), json!({"include_usage": true}));
    serde_json::to_vec(&value)
        .map(Bytes::from)
        .map_err(|error| error.to_string())
}

async fn whole_answer<S>(
    mut relay: AnswerRelay<S>,
    id: &RequestId,
    mut guard: RequestGuard<S>,
) -> Response {
    let mut builder = CompletionBuilder::default();
    loop {
        match relay.next(&mut guard).await {
            Ok(Some(events)) => {
                guard.record_token();
                for event in &events {
                    builder.push(event);
                }
            }
            Ok(None) => break,
            Err(problem) => return refuse(problem, id, guard),
        }
    }
    let mut response = warp::reply::json(&builder.into_completion()).into_response();
    set_headers(&mut response, id, &relay);
    guard.record_usage(relay.usage());
    guard.close("complete");
    relay.close();
    response
}

fn stream_answer<S: Send + Sync + 'static>(
    relay: AnswerRelay<S>,
    id: RequestId,
    guard: RequestGuard<S>,
    write_timeout: Duration,
) -> Response {
    let (groups, receiver) = mpsc::channel::<Vec<Bytes>>(EVENT_GROUPS_MAX);
    let body = stream::unfold(receiver, |mut receiver| async move {
        let group = receiver.recv().await?;
        Some((Ok::<_, Infallible>(join(group)), receiver))
    });
    let mut response = warp::reply::stream(body).into_response();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    set_headers(&mut response, &id, &relay);
    tokio::spawn(forward(relay, id, guard, groups, write_timeout));
    response
}

/// Forwards an answer until it is complete, its caller disconnects or a write to it times out.
async fn forward<S>(
    mut relay: AnswerRelay<S>,
    id: RequestId,
    mut guard: RequestGuard<S>,
    groups: mpsc::Sender<Vec<Bytes>>,
    write_timeout: Duration,
) {
    loop {
        let next = tokio::select! {
            next = relay.next(&mut guard) => next,
            () = groups.closed() => return guard.close("caller-gone"),
        };
        let group = match next {
            Ok(Some(events)) => events,
            Ok(None) => {
                guard.record_usage(relay.usage());
                guard.close("complete");
                return relay.close();
            }
            Err(problem) => {
                let event = format!("event: error\ndata: {}\n\n", problem.to_json(&id));
                drop(time::timeout(write_timeout, groups.send(vec![Bytes::from(event)])).await);
                return guard.close(problem.code.into());
            }
        };
        guard.record_token();
        match time::timeout(write_timeout, groups.send(group)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return guard.close("caller-gone"),
            Err(_) => return guard.close("caller-slow"),
        }
    }
}

fn join(mut group: Vec<Bytes>) -> Bytes {
    if group.len() == 1 {
        return group.swap_remove(0);
    }
    Bytes::from(group.concat())
}

fn set_headers<S>(response: &mut Response, id: &RequestId, relay: &AnswerRelay<S>) {
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id.as_str()) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    let route = relay
        .route()
        .and_then(|route| HeaderValue::from_str(&route.to_string()).ok());
    if let Some(route) = route {
        headers.insert(ROUTE_HEADER, route);
    }
}
