//! HTTP routes of an engine.

use {
    super::{
        ChatCompletion, ChatRequest,
        chat_headers::ChatHeaders,
        chat_stream::chat_stream,
        engine_context::{EngineContext, SubmittedRun},
        engine_task::EngineMessage,
        run_request::{RefusalReason, RunEvent},
    },
    crate::fault::{ConnectionHandle, not_run_reply},
    poplargap_core::order::EngineOrder,
    serde::{Deserialize, Serialize},
    std::{convert::Infallible, time::Duration},
    tokio::time::{Instant, sleep},
    warp::{
        Filter, Rejection,
        http::{HeaderMap, StatusCode},
        reply::{Reply, Response},
    },
};

/// Maximum time that `GET /cache-events` waits for events.
const EVENT_WAIT_MAX: Duration = Duration::from_secs(30);

/// Interval at which a waiting `GET /cache-events` checks for events.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Response header that carries the engine's load as `RUNNING/WAITING`.
const LOAD_HEADER: &str = "x-engine-load";

/// Query of `GET /cache-events`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct EventQuery {
    after: u64,
    wait_ms: u64,
}

/// Query of `GET /peak`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct PeakQuery {
    reset: bool,
}

/// Builds the filter for all routes except those that switch faults.
pub(super) fn engine_routes(
    context: EngineContext,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let context = warp::any().map(move || context.clone());
    let chat = warp::path!("v1" / "chat" / "completions")
        .and(warp::post())
        .and(warp::header::headers_cloned())
        .and(warp::body::json())
        .and(warp::ext::get())
        .and(context.clone())
        .and_then(chat);
    let cancel = warp::path!("v1" / "requests" / String)
        .and(warp::delete())
        .and(context.clone())
        .and_then(cancel);
    let cache_events = warp::path!("cache-events")
        .and(warp::get())
        .and(warp::query())
        .and(context.clone())
        .and_then(cache_events);
    let load = warp::path!("load")
        .and(warp::get())
        .and(context.clone())
        .and_then(load);
    chat.or(cancel)
        .unify()
        .or(cache_events)
        .unify()
        .or(load)
        .unify()
        .or(control_routes(context))
        .unify()
}

fn control_routes(
    context: impl Filter<Extract = (EngineContext,), Error = Infallible> + Clone + Send + Sync + 'static,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let drain = warp::path!("drain")
        .and(
            warp::post()
                .map(|| true)
                .or(warp::delete().map(|| false))
                .unify(),
        )
        .and(context.clone())
        .and_then(drain);
    let ledger = warp::path!("ledger")
        .and(warp::get())
        .and(context.clone())
        .and_then(ledger);
    let orders = warp::path!("orders")
        .and(warp::post())
        .and(warp::body::json())
        .and(context.clone())
        .and_then(order);
    let peak = warp::path!("peak")
        .and(warp::get())
        .and(warp::query())
        .and(context)
        .and_then(peak);
    drain.or(ledger).unify().or(orders).unify().or(peak).unify()
}

async fn cache_events(query: EventQuery, context: EngineContext) -> Result<Response, Infallible> {
    let wait = Duration::from_millis(query.wait_ms).min(EVENT_WAIT_MAX);
    let deadline = Instant::now() + wait;
    loop {
        let after = query.after;
        let answer = context
            .ask(|reply| EngineMessage::CacheEvents { after, reply })
            .await;
        let empty = answer.as_ref().is_ok_and(|answer| answer.events.is_empty());
        if !empty || Instant::now() >= deadline {
            return Ok(json_reply(answer));
        }
        sleep(EVENT_POLL_INTERVAL).await;
    }
}

async fn cancel(request_id: String, context: EngineContext) -> Result<Response, Infallible> {
    let found = context
        .ask(|reply| EngineMessage::CancelById { reply, request_id })
        .await;
    let status = match found {
        Ok(true) => StatusCode::NO_CONTENT,
        Ok(false) => StatusCode::NOT_FOUND,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    Ok(status.into_response())
}

async fn chat(
    headers: HeaderMap,
    request: ChatRequest,
    connection: ConnectionHandle,
    context: EngineContext,
) -> Result<Response, Infallible> {
    let faults = context.faults();
    sleep(faults.delay()).await;
    if faults.refuse {
        let reason = "the engine refuses work";
        return Ok(not_run_reply(StatusCode::SERVICE_UNAVAILABLE, reason));
    }
    let headers = match ChatHeaders::try_from(&headers) {
        Ok(headers) => headers,
        Err(error) => return Ok(not_run_reply(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let mut run = context.submit(headers, &request);
    let load = match run.events.recv().await {
        Some(RunEvent::Started { load }) => load.header_value(),
        Some(RunEvent::Refused { reason }) => return Ok(refusal_reply(reason)),
        _ => return Ok(StatusCode::INTERNAL_SERVER_ERROR.into_response()),
    };
    if faults.drop_answer {
        while run.events.recv().await.is_some() {}
        connection.cut();
        return Ok(StatusCode::OK.into_response());
    }
    if !request.stream {
        return Ok(
            warp::reply::with_header(whole_reply(run).await, LOAD_HEADER, load).into_response(),
        );
    }
    let stream = chat_stream(run, connection, faults.stop_after_events);
    let reply = warp::reply::stream(stream);
    let reply = warp::reply::with_header(reply, "content-type", "text/event-stream");
    let reply = warp::reply::with_header(reply, "cache-control", "no-cache");
    Ok(warp::reply::with_header(reply, LOAD_HEADER, load).into_response())
}

async fn drain(draining: bool, context: EngineContext) -> Result<Response, Infallible> {
    let done = context
        .ask(|reply| EngineMessage::Drain { draining, reply })
        .await;
    Ok(match done {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    })
}

async fn ledger(context: EngineContext) -> Result<Response, Infallible> {
    let answer = context.ask(|reply| EngineMessage::Ledger { reply }).await;
    Ok(json_reply(answer))
}

async fn load(context: EngineContext) -> Result<Response, Infallible> {
    let answer = context.ask(|reply| EngineMessage::Load { reply }).await;
    Ok(json_reply(answer))
}

async fn order(order: EngineOrder, context: EngineContext) -> Result<Response, Infallible> {
    let answer = context
        .ask(|reply| EngineMessage::Order { order, reply })
        .await;
    let refused = answer.as_ref().is_ok_and(|record| !record.accepted);
    let reply = json_reply(answer);
    Ok(if refused {
        warp::reply::with_status(reply, StatusCode::CONFLICT).into_response()
    } else {
        reply
    })
}

async fn peak(query: PeakQuery, context: EngineContext) -> Result<Response, Infallible> {
    let reset = query.reset;
    let answer = context
        .ask(|reply| EngineMessage::Peak { reply, reset })
        .await;
    Ok(json_reply(answer))
}

fn json_reply<T: Serialize, E>(answer: Result<T, E>) -> Response {
    match answer {
        Ok(answer) => warp::reply::json(&answer).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn refusal_reply(reason: RefusalReason) -> Response {
    let status = match reason {
        RefusalReason::Cancelled | RefusalReason::Draining => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
    };
    not_run_reply(status, reason.message())
}

/// Waits for the run to finish and replies with the whole answer.
async fn whole_reply(mut run: SubmittedRun) -> Response {
    let mut text = String::new();
    while let Some(event) = run.events.recv().await {
        match event {
            RunEvent::Token { index } => text.push_str(&run.script.token(index)),
            RunEvent::Finished { usage } => {
                let completion = ChatCompletion::new(&run.request_id, text, usage);
                return warp::reply::json(&completion).into_response();
            }
            RunEvent::Refused { .. } | RunEvent::Started { .. } => {}
        }
    }
    // The run was cancelled after it had started, so the reply can't say that it didn't run.
    StatusCode::INTERNAL_SERVER_ERROR.into_response()
}
