//! Sends one request to one replica.

use {
    crate::{
        ReplyHead, ReplyRefusal, SendHead, WireDialect,
        call_stage::AdmittedCall,
        connection_pool::{OpenError, ReplicaConnection},
        front_state::{FrontState, PlacedCall},
        interim_replies::InterimReplies,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, Uri, Version,
        body::{Body, Incoming},
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING},
        http::response,
    },
    poplargap_core::forward::{RepeatRule, ReplicaEntry, SendOutcome},
    slog::{debug, info},
    std::{ops::RangeInclusive, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// Longest wait for an idle connection to be ready; its last reply may just have been read.
const READY_WAIT: Duration = Duration::from_millis(5);

/// Status codes of answers. 101 isn't among them: no request asks for another protocol, since
/// `Upgrade` isn't passed on.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The content type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A replica's reply whose body hasn't been read.
#[derive(Debug)]
pub(crate) struct OpenReply<D> {
    pub(crate) body: Incoming,
    pub(crate) connection: ReplicaConnection,
    pub(crate) head: ReplyHead,
    pub(crate) parts: response::Parts,
    pub(crate) placed: PlacedCall<D>,
}

impl<D> OpenReply<D> {
    /// Returns whether the reply states where its body ends, other than by closing the connection.
    pub(crate) fn is_framed(&self) -> bool {
        let headers = &self.parts.headers;
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
    }

    /// Returns whether the reply's body is a stream of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        let kind = self.parts.headers.get(CONTENT_TYPE);
        let kind = kind.map_or(&b""[..], HeaderValue::as_bytes);
        kind.get(..EVENT_STREAM.len())
            .is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
    }
}

/// Sends a request and waits for the head of the reply until `deadline`.
pub(crate) async fn send<D: WireDialect>(
    state: &FrontState<D>,
    call: &AdmittedCall,
    placed: PlacedCall<D>,
    last_event: Option<u64>,
    deadline: Instant,
) -> Result<OpenReply<D>, SendOutcome> {
    let at_most_once = call.grant.route.repeat == RepeatRule::Once;
    let replica = &placed.replica;
    let call_id = &call.received.head.id;
    let mut connection = connect(state, replica, call_id, at_most_once).await?;
    let response = loop {
        if is_withdrawn(state, replica) || is_past_its_time(state, call) {
            return Err(SendOutcome::Withdrawn);
        }
        let mut request = build_request(state, call, &placed, last_event);
        let interim = InterimReplies::watch(&mut request);
        let reply = connection.sender.try_send_request(request);
        let sent = tokio::select! {
            sent = timeout_at(deadline, reply) => sent,
            () = interim.exceeded() => return Err(SendOutcome::Broken),
        };
        match sent {
            Ok(Ok(response)) => break response,
            Ok(Err(mut error)) => {
                let unsent = error.take_message().is_some();
                debug!(state.log, "send failed"; "request" => &call.received.head.id,
                    "replica" => replica.id.as_ref(), "unsent" => unsent,
                    "error" => %error.error());
                if !unsent {
                    return Err(SendOutcome::Broken);
                }
                if connection.is_new {
                    return Err(SendOutcome::NotSent);
                }
                connection = open(state, replica).await?;
            }
            Err(_) => return Err(SendOutcome::Silent),
        }
    };
    check_reply(state, call, placed, connection, response)
}

/// Returns whether a replica that was chosen before a connection was ready is to get no requests now.
fn is_withdrawn<D>(state: &FrontState<D>, replica: &ReplicaEntry) -> bool {
    let view = Arc::clone(&state.replicas.borrow());
    let known = view.replica(&replica.id);
    let is_registered = known.is_some_and(|known| known.started_ms == replica.started_ms);
    let evacuations = Arc::clone(&state.evacuations.borrow());
    !is_registered || evacuations.is_complete(&replica.data_centre, state.clock.now())
}

/// Returns whether the caller's time has passed, as far as the daemon can tell.
///
/// A daemon that stood still while a connection opened goes on where it was, before its timers fire.
fn is_past_its_time<D>(state: &FrontState<D>, call: &AdmittedCall) -> bool {
    let lag = state.lag();
    lag.time_left(call.time_left(), state.clock.now()).is_zero()
}

/// Returns an idle connection or opens a new one.
///
/// An at-most-once request gets a new connection if the replica recently sent a reply to another
/// request.
async fn connect<D>(
    state: &FrontState<D>,
    replica: &ReplicaEntry,
    call_id: &str,
    at_most_once: bool,
) -> Result<ReplicaConnection, SendOutcome> {
    let is_suspect = at_most_once && {
        let now = state.clock.now();
        state
            .tracker()
            .load(&replica.id)
            .is_some_and(|load| load.has_recent_mismatch(now))
    };
    if !is_suspect
        && let Some(mut connection) = state.connections.take(replica, call_id, at_most_once)
    {
        let ready = timeout(READY_WAIT, connection.sender.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            return Ok(connection);
        }
    }
    open(state, replica).await
}

async fn open<D>(
    state: &FrontState<D>,
    replica: &ReplicaEntry,
) -> Result<ReplicaConnection, SendOutcome> {
    let began = Instant::now();
    let opened = state.connections.open(replica).await;
    if opened.is_ok() {
        let mut tracker = state.tracker();
        let distances = tracker.distances_mut();
        distances.record(&replica.data_centre, began.elapsed());
    }
    let outcome = if opened.is_ok() { "opened" } else { "failed" };
    state.metrics.record_connection(&replica.service, outcome);
    opened.map_err(|error| {
        debug!(state.log, "connection to a replica can't be opened";
            "replica" => replica.id.as_ref(), "error" => %error);
        match error {
            OpenError::Timeout => SendOutcome::Unreachable,
            OpenError::Http(_) | OpenError::Io(_) => SendOutcome::NotSent,
        }
    })
}

fn build_request<D: WireDialect>(
    state: &FrontState<D>,
    call: &AdmittedCall,
    placed: &PlacedCall<D>,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let received = &call.received;
    let head = SendHead {
        deadline: call.time_left(),
        last_event: last_event.or(received.head.last_event),
        priority: call.priority(),
        prompt_source: placed.prompt_source,
        replica: &placed.replica.id,
        workspace: call.workspace(),
    };
    let mut request = Request::new(Full::new(received.body.clone()));
    *request.method_mut() = received.method.clone();
    *request.uri_mut() = origin_form(&received.target);
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = state.dialect.write_send(&received.headers, &head);
    request
}

/// Returns the path and query of a target.
fn origin_form(target: &Uri) -> Uri {
    let path = target.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Checks that a reply belongs to this request and is valid, and records its load report.
fn check_reply<D: WireDialect>(
    state: &FrontState<D>,
    call: &AdmittedCall,
    placed: PlacedCall<D>,
    mut connection: ReplicaConnection,
    response: Response<Incoming>,
) -> Result<OpenReply<D>, SendOutcome> {
    let (parts, body) = response.into_parts();
    let id = &placed.replica.id;
    let now = state.clock.now();
    let call_id = &call.received.head.id;
    if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
        info!(state.log, "reply has no status of an answer; the connection is closed";
            "request" => call_id, "replica" => id.as_ref(), "status" => parts.status.as_u16());
        return Err(SendOutcome::Broken);
    }
    let head = state.dialect.read_reply(&parts);
    let is_own = head.call_id.as_ref() == Some(call_id);
    if !is_own && (head.call_id.is_some() || head.refusal.is_some()) {
        info!(state.log, "reply doesn't belong to the request; the connection is closed";
            "request" => call_id, "replica" => id.as_ref(), "reply-to" => head.call_id.as_deref(),
            "status" => parts.status.as_u16(), "refusal" => head.refusal.is_some());
        state.tracker().record_mismatch(id, now);
        return Err(SendOutcome::Broken);
    }
    record_notices(state, &placed.replica, &head, call_id);
    if let Some(report) = head.load {
        state.tracker().record_report(&placed.replica, report, now);
    }
    match head.refusal {
        Some(ReplyRefusal::WrongReplica) => return Err(SendOutcome::WrongReplica),
        Some(ReplyRefusal::NotExecuted) => {
            if head.load.is_none() {
                state.tracker().record_full(&placed.replica, now);
            }
            if body.is_end_stream() {
                connection.record_refusal(call_id);
                state.connections.put(id, connection, head.keep_alive);
            }
            return Err(SendOutcome::NotExecuted);
        }
        None => {}
    }
    if parts.status.is_success() && !(is_own && head.is_signed) {
        return Err(SendOutcome::Broken);
    }
    Ok(OpenReply {
        body,
        connection,
        head,
        parts,
        placed,
    })
}

/// Records what a reply says about new requests to its replica.
fn record_notices<D>(
    state: &FrontState<D>,
    replica: &ReplicaEntry,
    head: &ReplyHead,
    call_id: &str,
) {
    let now = state.clock.now();
    let view = Arc::clone(&state.replicas.borrow());
    // A reply of another replica at the address says nothing of the intended one.
    let speaker = match &head.replica {
        Some(id) if **id != *replica.id => view.replica(id).map(Arc::as_ref),
        None if head.refusal == Some(ReplyRefusal::WrongReplica) => None,
        _ => Some(replica),
    };
    let Some(speaker) = speaker else {
        return;
    };
    if head.is_leaving && state.tracker().record_leaving(speaker, now) {
        state.metrics.record_notice("leaving");
        info!(state.log, "replica is leaving; it gets no new requests";
            "request" => call_id, "replica" => speaker.id.as_ref(),
            "started-ms" => speaker.started_ms, "said-by" => "replica");
    }
    if let Some(time) = head.retry_after {
        let kept = state.tracker().record_refusal(speaker, time, now);
        state.metrics.record_notice("refusal");
        info!(state.log, "replica refuses requests for a time";
            "request" => call_id, "replica" => speaker.id.as_ref(),
            "for-ms" => crate::call_log::millis(kept));
    }
}
