//! Relays event streams, and resumes a broken one at another replica.

use {
    crate::{
        WireDialect, call_log::CallEnd, relay::CallRelay, relay_body::RelayChunk, send::OpenReply,
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    poplargap_core::forward::{EventCursor, RepeatRule, SendOutcome, StallStep, StreamWatch},
    slog::info,
    std::sync::Arc,
    tokio::{
        sync::mpsc,
        time::{sleep, sleep_until},
    },
};

/// The end of a stream whose caller has left.
const CALLER_GONE: (CallEnd, &str) = (CallEnd::CallerGone, "caller-gone");

/// How one replica's stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    Broken,
    CallerGone,
    /// No event came for so long that the stream resumes at another replica.
    Stalled,
    /// No event came for so long that the stream is given up.
    Silent,
    TimedOut,
    Whole,
}

/// Relays a stream to the caller, resuming it at other replicas where its route allows.
///
/// Whatever the stream waits for, its wait ends when the caller leaves, and with it the work of its
/// replica: dropping the wait closes the replica's connection.
pub(crate) async fn relay_stream<D: WireDialect>(
    mut relay: CallRelay<D>,
    reply: OpenReply<D>,
    caller: mpsc::Sender<RelayChunk>,
) {
    let (end, reason) = tokio::select! {
        biased;
        end = relay_to_end(&mut relay, reply, &caller) => end,
        () = caller.closed() => CALLER_GONE,
    };
    relay.log.finish(end, reason);
}

/// Relays a stream until it ends or can't be resumed; returns the end and its reason.
async fn relay_to_end<D: WireDialect>(
    relay: &mut CallRelay<D>,
    mut reply: OpenReply<D>,
    caller: &mpsc::Sender<RelayChunk>,
) -> (CallEnd, &'static str) {
    let mut cursor = EventCursor::new(relay.call.received.head.last_event);
    loop {
        let end = forward_events(relay, &mut reply, &mut cursor, caller).await;
        return match end {
            StreamEnd::Broken | StreamEnd::Stalled => {
                let outcome = match end {
                    StreamEnd::Stalled => SendOutcome::Silent,
                    _ => SendOutcome::Broken,
                };
                drop(cursor.take_rest());
                match resume(relay, reply, &cursor, outcome).await {
                    Ok(next) => {
                        reply = next;
                        continue;
                    }
                    Err(reason) => (CallEnd::BrokenOff, reason),
                }
            }
            StreamEnd::Silent => {
                let replica = Arc::clone(&reply.placed.replica);
                drop(reply);
                relay.record_failure(&replica, SendOutcome::Silent);
                (CallEnd::BrokenOff, "no-events")
            }
            StreamEnd::CallerGone => CALLER_GONE,
            StreamEnd::TimedOut => (CallEnd::TimedOut, "route-timeout"),
            StreamEnd::Whole => {
                relay.record_answer(&reply.placed.replica);
                finish(relay, reply, &mut cursor, caller).await;
                (CallEnd::Answered, "")
            }
        };
    }
}

/// Passes whole events to the caller until the stream ends, breaks, stalls or times out.
async fn forward_events<D: WireDialect>(
    relay: &mut CallRelay<D>,
    reply: &mut OpenReply<D>,
    cursor: &mut EventCursor,
    caller: &mpsc::Sender<RelayChunk>,
) -> StreamEnd {
    let route = &relay.call.grant.route;
    let deadline = relay.call.received.started_at + route.timeout;
    let mut watch = StreamWatch::new(route, relay.state.clock.now());
    let mut timer = std::pin::pin!(sleep_until(deadline));
    // Without a length, a stream whose replica crashed before its first event looks whole.
    let mut has_events = false;
    loop {
        let step = watch.step(relay.state.clock.now(), || relay.may_resume());
        let wait = match step {
            StallStep::GiveUp => return StreamEnd::Silent,
            StallStep::Resume => return StreamEnd::Stalled,
            StallStep::Wait(wait) => wait,
        };
        let frame = tokio::select! {
            biased;
            frame = reply.body.frame() => frame,
            () = timer.as_mut() => return StreamEnd::TimedOut,
            () = sleep(wait) => continue,
        };
        let chunk = match frame {
            None if reply.is_event_stream()
                && !(cursor.is_between_events() && (has_events || reply.is_framed())) =>
            {
                return StreamEnd::Broken;
            }
            None => return StreamEnd::Whole,
            Some(Err(_)) => return StreamEnd::Broken,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let (len, known) = (chunk.len(), cursor.event_count());
        let batch = cursor.push(chunk);
        let count = cursor.event_count() - known;
        let has_event = count > 0;
        has_events |= has_event;
        if has_event {
            relay.log.record_events(count);
        } else if watch.record_bytes(len).is_err() {
            return StreamEnd::Broken;
        }
        if let Some(events) = batch.events {
            // A slice would hold the whole buffer into which it was read until the caller has it.
            let events = Bytes::copy_from_slice(&events);
            let sent = tokio::select! {
                sent = caller.send(RelayChunk::Bytes(events)) => sent.is_ok(),
                () = timer.as_mut() => return StreamEnd::TimedOut,
            };
            if !sent {
                return StreamEnd::CallerGone;
            }
        }
        if let Some(error) = batch.error {
            info!(relay.state.log, "stream can't be read any further";
                "request" => &relay.call.received.head.id,
                "replica" => reply.placed.replica.id.as_ref(),
                "last-event" => cursor.last_id(), "error" => %error);
            return StreamEnd::Broken;
        }
        if has_event {
            watch.record_event(relay.state.clock.now());
        }
    }
}

/// Passes the end of the stream to the caller and returns the connection to the pool.
async fn finish<D: WireDialect>(
    relay: &CallRelay<D>,
    reply: OpenReply<D>,
    cursor: &mut EventCursor,
    caller: &mpsc::Sender<RelayChunk>,
) {
    if let Some(rest) = cursor.take_rest() {
        // The send fails if the caller has disconnected, which needs no handling here.
        drop(caller.send(RelayChunk::Bytes(rest)).await);
    }
    drop(caller.send(RelayChunk::End).await);
    let id = &reply.placed.replica.id;
    relay
        .state
        .connections
        .put(id, reply.connection, reply.head.keep_alive);
}

/// Resumes a broken stream at another replica; the error is the reason if that isn't possible.
async fn resume<D: WireDialect>(
    relay: &mut CallRelay<D>,
    broken: OpenReply<D>,
    cursor: &EventCursor,
    outcome: SendOutcome,
) -> Result<OpenReply<D>, &'static str> {
    let replica = Arc::clone(&broken.placed.replica);
    // Close the connection of the broken stream before another replica runs the request.
    drop(broken);
    let end = relay.record_failure(&replica, outcome);
    if relay.call.grant.route.repeat != RepeatRule::Resumable {
        return Err("not-resumable");
    }
    if let Some(end) = end {
        return Err(end.reason);
    }
    relay.log.record_resume();
    info!(relay.state.log, "stream resumes at another replica";
        "request" => &relay.call.received.head.id, "last-event" => cursor.last_id());
    relay.resume(cursor.last_id()).await
}
