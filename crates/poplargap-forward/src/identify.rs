//! Filter: reads a request's head and body.

use {
    crate::{
        CallHead, HeadError, LocalAnswer, WireDialect,
        body_read::{BodyError, read_body},
        call_stage::ReceivedCall,
        front_state::FrontState,
        local_answer::OVERLOADED_RETRY_AFTER,
    },
    hyper::{Request, body::Incoming},
    slog::info,
    std::time::Duration,
    tokio::time::Instant,
};

/// Longest time for reading a body, also if the caller's deadline is later.
const BODY_TIME_MAX: Duration = Duration::from_secs(10);

/// A request that can't be read, with the daemon's answer.
#[derive(Debug)]
pub(crate) struct UnreadCall {
    pub(crate) answer: LocalAnswer,
    pub(crate) id: Option<String>,
}

/// Reads a request's head and body.
pub(crate) async fn identify<D: WireDialect>(
    state: &FrontState<D>,
    request: Request<Incoming>,
    started_at: Instant,
) -> Result<ReceivedCall, UnreadCall> {
    let (parts, body) = request.into_parts();
    let head = match state.dialect.read_call(&parts) {
        Ok(head) => head,
        Err(error) => return Err(malformed(state, error)),
    };
    let time = head
        .deadline
        .map_or(BODY_TIME_MAX, |time| time.min(BODY_TIME_MAX));
    let bytes_max = state
        .routes()
        .map_or_else(Default::default, |routes| *routes.limits())
        .body_bytes_max;
    let end = started_at + time;
    let body = match read_body(body, bytes_max, end, &state.bodies).await {
        Ok(body) => body,
        Err(error) => return Err(unread(state, &head, &error)),
    };
    Ok(ReceivedCall {
        started_at,
        body,
        head,
        headers: parts.headers,
        method: parts.method,
        target: parts.uri,
    })
}

fn malformed<D>(state: &FrontState<D>, error: HeadError) -> UnreadCall {
    info!(state.log, "request is malformed"; "reason" => %error);
    UnreadCall {
        answer: LocalAnswer::Malformed,
        id: None,
    }
}

fn unread<D>(state: &FrontState<D>, head: &CallHead, error: &BodyError) -> UnreadCall {
    info!(state.log, "request's body can't be read"; "request" => &head.id, "reason" => %error);
    let answer = match error {
        BodyError::Broken(_) => LocalAnswer::Malformed,
        BodyError::NoRoom => LocalAnswer::Refused {
            retry_after: OVERLOADED_RETRY_AFTER,
        },
        BodyError::TooLong => LocalAnswer::BodyTooLarge,
        BodyError::TooSlow => LocalAnswer::BodyTimeout,
    };
    UnreadCall {
        answer,
        id: Some(head.id.clone()),
    }
}
