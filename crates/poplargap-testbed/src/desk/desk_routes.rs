//! HTTP routes of a desk.

use {
    super::{BookingAnswer, BookingRecord, DeskTaskError, desk_task::DeskMessage},
    crate::fault::{ConnectionHandle, FaultSettings, not_run_reply},
    bytes::Bytes,
    serde::Serialize,
    std::{convert::Infallible, time::Duration},
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::sleep,
    },
    warp::{
        Filter, Rejection,
        http::{HeaderMap, Method, StatusCode},
        path::FullPath,
        reply::{Reply, Response},
    },
};

/// State shared by the request handlers of one desk.
#[derive(Clone, Debug)]
pub(super) struct DeskContext {
    pub(super) faults: watch::Receiver<FaultSettings>,
    pub(super) messages: mpsc::UnboundedSender<DeskMessage>,
    pub(super) service_time: Duration,
}

impl DeskContext {
    /// Sends the task the message that `build` creates for a reply channel, and waits for the reply.
    pub(super) async fn ask<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> DeskMessage,
    ) -> Result<T, DeskTaskError> {
        let (reply_tx, reply_rx) = oneshot::channel();
        // If sending fails, the reply sender is dropped with the message and `reply_rx` fails.
        let _sent = self.messages.send(build(reply_tx));
        reply_rx.await.map_err(|_closed| DeskTaskError::Closed)
    }
}

/// Reports the end of a call to the desk's task when the call's handler finishes or is dropped.
#[derive(Debug)]
struct CallGuard(mpsc::UnboundedSender<DeskMessage>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        // Sending fails only after the task has ended, when no call is counted any more.
        let _sent = self.0.send(DeskMessage::End);
    }
}

/// Builds the filter for all routes except those that switch faults.
pub(super) fn desk_routes(
    context: DeskContext,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let context = warp::any().map(move || context.clone());
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
    let load = warp::path!("load")
        .and(warp::get())
        .and(context.clone())
        .and_then(load);
    let query = warp::query::raw()
        .map(Some)
        .or(warp::any().map(|| None))
        .unify();
    let call = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .and(warp::ext::get())
        .and(context)
        .and_then(call);
    drain.or(ledger).unify().or(load).unify().or(call).unify()
}

async fn call(
    method: Method,
    path: FullPath,
    query: Option<String>,
    headers: HeaderMap,
    _body: Bytes,
    connection: ConnectionHandle,
    context: DeskContext,
) -> Result<Response, Infallible> {
    let faults = *context.faults.borrow();
    sleep(faults.delay()).await;
    if faults.refuse {
        return Ok(refusal_reply("the desk refuses work"));
    }
    let record = BookingRecord {
        booking: 0,
        idempotency_key: header_text(&headers, "idempotency-key"),
        method: method.to_string(),
        path: full_path(&path, query.as_deref()),
        request_id: header_text(&headers, "x-request-id"),
        time_ms: 0,
    };
    let answer = BookingAnswer {
        booking: 0,
        path: record.path.clone(),
        request_id: record.request_id.clone(),
    };
    let booking = context
        .ask(|reply| DeskMessage::Start { record, reply })
        .await;
    let Ok(Some(booking)) = booking else {
        return Ok(refusal_reply("the desk is draining"));
    };
    let _guard = CallGuard(context.messages.clone());
    sleep(context.service_time).await;
    if faults.drop_answer {
        connection.cut();
    }
    Ok(warp::reply::json(&BookingAnswer { booking, ..answer }).into_response())
}

async fn drain(draining: bool, context: DeskContext) -> Result<Response, Infallible> {
    let done = context
        .ask(|reply| DeskMessage::Drain { draining, reply })
        .await;
    Ok(match done {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    })
}

async fn ledger(context: DeskContext) -> Result<Response, Infallible> {
    Ok(json_reply(
        context.ask(|reply| DeskMessage::Ledger { reply }).await,
    ))
}

async fn load(context: DeskContext) -> Result<Response, Infallible> {
    Ok(json_reply(
        context.ask(|reply| DeskMessage::Load { reply }).await,
    ))
}

fn full_path(path: &FullPath, query: Option<&str>) -> String {
    match query {
        Some(query) => format!("{}?{query}", path.as_str()),
        None => path.as_str().to_owned(),
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}

fn json_reply<T: Serialize>(answer: Result<T, DeskTaskError>) -> Response {
    match answer {
        Ok(answer) => warp::reply::json(&answer).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn refusal_reply(reason: &str) -> Response {
    not_run_reply(StatusCode::SERVICE_UNAVAILABLE, reason)
}
