//! Filter: builds the answer to the caller.

use {
    crate::{
        LocalAnswer, WireDialect,
        admit::RefusedCall,
        call_log::CallEnd,
        front_state::FrontState,
        identify::UnreadCall,
        relay::{CallRelay, RelayReply},
        relay_body::{CHUNKS_MAX, RelayBody},
        relay_end::RelayEnd,
        send::OpenReply,
        stream_relay::relay_stream,
    },
    bytes::Bytes,
    hyper::{
        Response,
        header::{CONTENT_LENGTH, HeaderValue},
        http::response,
    },
    poplargap_core::forward::FinalAnswer,
    slog::info,
    tokio::sync::mpsc,
};

/// Answers a request that couldn't be read.
pub(crate) fn respond_unread<D: WireDialect>(
    state: &FrontState<D>,
    unread: &UnreadCall,
) -> Response<RelayBody> {
    local_response(state, &unread.answer, unread.id.as_deref())
}

/// Answers a request that wasn't admitted.
pub(crate) fn respond_refused<D: WireDialect>(
    state: &FrontState<D>,
    refused: &RefusedCall,
) -> Response<RelayBody> {
    let id = &refused.call.head.id;
    info!(state.log, "request refused"; "request" => id, "reason" => refused.reason,
        "status" => refused.answer.status().as_u16());
    local_response(state, &refused.answer, Some(id))
}

/// Answers a relayed request, or starts its stream.
pub(crate) fn respond_relayed<D: WireDialect>(
    mut relay: CallRelay<D>,
    result: Result<RelayReply<D>, RelayEnd>,
) -> Response<RelayBody> {
    match result {
        Err(end) => respond_unanswered(relay, end),
        Ok(RelayReply::Stream(reply)) => begin_stream(relay, reply),
        Ok(RelayReply::Whole { body, parts }) => {
            relay.log.finish(CallEnd::Answered, "");
            whole_response(&relay, parts, body)
        }
    }
}

fn respond_unanswered<D: WireDialect>(
    mut relay: CallRelay<D>,
    end: RelayEnd,
) -> Response<RelayBody> {
    let (answer, outcome) = match end.answer {
        FinalAnswer::Lost => (LocalAnswer::Lost, CallEnd::Lost),
        FinalAnswer::Refused => {
            let retry_after = end.retry_after;
            (LocalAnswer::Refused { retry_after }, CallEnd::Refused)
        }
        FinalAnswer::TimedOut => (LocalAnswer::TimedOut, CallEnd::TimedOut),
    };
    relay.log.record_local_answer(answer.status().as_u16());
    relay.log.finish(outcome, end.reason);
    local_response(&relay.state, &answer, Some(&relay.call.received.head.id))
}

fn whole_response<D: WireDialect>(
    relay: &CallRelay<D>,
    mut parts: response::Parts,
    body: Bytes,
) -> Response<RelayBody> {
    parts.headers = relay.state.dialect.write_reply(parts.headers);
    if relay.call.received.method != hyper::Method::HEAD {
        parts.headers.remove(CONTENT_LENGTH);
    }
    Response::from_parts(parts, RelayBody::Whole(body))
}

fn begin_stream<D: WireDialect>(relay: CallRelay<D>, reply: OpenReply<D>) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Done);
    *response.status_mut() = reply.parts.status;
    *response.headers_mut() = relay.state.dialect.write_reply(reply.parts.headers.clone());
    // A stream that resumes at another replica may have another length.
    response.headers_mut().remove(CONTENT_LENGTH);
    let (sender, receiver) = mpsc::channel(CHUNKS_MAX);
    *response.body_mut() = RelayBody::Relayed(receiver);
    tokio::spawn(relay_stream(relay, reply, sender));
    response
}

fn local_response<D: WireDialect>(
    state: &FrontState<D>,
    answer: &LocalAnswer,
    id: Option<&str>,
) -> Response<RelayBody> {
    let name: &'static str = answer.into();
    let mut response = Response::new(RelayBody::Whole(Bytes::from_static(name.as_bytes())));
    *response.status_mut() = answer.status();
    *response.headers_mut() = state.dialect.write_answer(answer, id);
    let plain = HeaderValue::from_static("text/plain");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, plain);
    response
}
