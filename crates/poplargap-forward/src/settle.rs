//! Filter: turns what became of a request into its answer.

use {
    crate::{
        OwnAnswer, WireDialect,
        admit::Unadmitted,
        call_log::CallEnd,
        front_state::FrontState,
        identify::Unidentified,
        own_answer::NO_ROOM_WAIT,
        relay::{CallRelay, RelayEnd, RelayReply},
        relay_body::{CHUNKS_MAX, RelayBody},
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

/// Answers a request whose head or body couldn't be read.
pub(crate) fn settle_unidentified<D: WireDialect>(
    state: &FrontState<D>,
    problem: &Unidentified,
) -> Response<RelayBody> {
    own_response(state, &problem.answer, problem.id.as_deref())
}

/// Answers a request that isn't let in.
pub(crate) fn settle_unadmitted<D: WireDialect>(
    state: &FrontState<D>,
    refused: &Unadmitted,
) -> Response<RelayBody> {
    let id = &refused.call.head.id;
    info!(state.log, "request refused"; "request" => id, "reason" => refused.reason,
        "status" => refused.answer.status().as_u16());
    own_response(state, &refused.answer, Some(id))
}

/// Answers a request that was relayed, or begins to.
pub(crate) fn settle_relayed<D: WireDialect>(
    mut relay: CallRelay<D>,
    result: Result<RelayReply<D>, RelayEnd>,
) -> Response<RelayBody> {
    match result {
        Err(end) => settle_end(relay, end),
        Ok(RelayReply::Stream(reply)) => begin_stream(relay, reply),
        Ok(RelayReply::Whole { body, parts }) => {
            relay.log.settle(CallEnd::Answered, "");
            whole_response(&relay, parts, body)
        }
    }
}

fn settle_end<D: WireDialect>(mut relay: CallRelay<D>, end: RelayEnd) -> Response<RelayBody> {
    let (answer, outcome) = match end.answer {
        FinalAnswer::Lost => (OwnAnswer::Lost, CallEnd::Lost),
        FinalAnswer::Refused => {
            let retry_after = NO_ROOM_WAIT;
            (OwnAnswer::Refused { retry_after }, CallEnd::Refused)
        }
        FinalAnswer::TimedOut => (OwnAnswer::TimedOut, CallEnd::TimedOut),
    };
    relay.log.own_status(answer.status().as_u16());
    relay.log.settle(outcome, end.reason);
    own_response(&relay.state, &answer, Some(&relay.call.call.head.id))
}

fn whole_response<D: WireDialect>(
    relay: &CallRelay<D>,
    mut parts: response::Parts,
    body: Bytes,
) -> Response<RelayBody> {
    parts.headers = relay.state.dialect.write_reply(parts.headers);
    if relay.call.call.method != hyper::Method::HEAD {
        parts.headers.remove(CONTENT_LENGTH);
    }
    Response::from_parts(parts, RelayBody::Whole(body))
}

fn begin_stream<D: WireDialect>(relay: CallRelay<D>, reply: OpenReply<D>) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Done);
    *response.status_mut() = reply.parts.status;
    *response.headers_mut() = relay.state.dialect.write_reply(reply.parts.headers.clone());
    // A stream that goes on elsewhere may differ in length.
    response.headers_mut().remove(CONTENT_LENGTH);
    let (sender, receiver) = mpsc::channel(CHUNKS_MAX);
    *response.body_mut() = RelayBody::Relayed(receiver);
    tokio::spawn(relay_stream(relay, reply, sender));
    response
}

fn own_response<D: WireDialect>(
    state: &FrontState<D>,
    answer: &OwnAnswer,
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
