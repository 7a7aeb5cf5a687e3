//! Relays event streams, and brings one that breaks off to its end at another replica.

use {
    crate::{
        WireDialect,
        call_log::CallEnd,
        relay::{CallRelay, RelayReply},
        relay_body::RelayChunk,
        send::OpenReply,
    },
    http_body_util::BodyExt,
    poplargap_core::forward::{EventCursor, RepeatRule, SendOutcome},
    slog::info,
    std::sync::Arc,
    tokio::{
        sync::mpsc,
        time::{Instant, sleep_until},
    },
};

/// How the relay of one replica's stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PumpEnd {
    Broken,
    CallerGone,
    TimedOut,
    Whole,
}

/// Relays a stream to its end.
pub(crate) async fn relay_stream<D: WireDialect>(
    mut relay: CallRelay<D>,
    mut reply: OpenReply<D>,
    caller: mpsc::Sender<RelayChunk>,
) {
    let mut cursor = EventCursor::new(relay.call.call.head.last_event);
    loop {
        let deadline = relay.call.call.received_at + relay.call.grant.route.timeout;
        let end = pump(&mut reply, &mut cursor, &caller, deadline).await;
        let (end, reason) = match end {
            PumpEnd::Broken => {
                drop(cursor.take_rest());
                match resume(&mut relay, reply, &cursor).await {
                    Ok(next) => {
                        reply = next;
                        continue;
                    }
                    Err(reason) => (CallEnd::BrokenOff, reason),
                }
            }
            PumpEnd::CallerGone => (CallEnd::CallerGone, "caller-gone"),
            PumpEnd::TimedOut => (CallEnd::TimedOut, "route-timeout"),
            PumpEnd::Whole => {
                finish(&relay, reply, &mut cursor, &caller).await;
                (CallEnd::Answered, "")
            }
        };
        relay.log.finish(end, reason);
        return;
    }
}

/// Passes events on until the stream ends in some way.
async fn pump<D>(
    reply: &mut OpenReply<D>,
    cursor: &mut EventCursor,
    caller: &mpsc::Sender<RelayChunk>,
    deadline: Instant,
) -> PumpEnd {
    let mut timer = std::pin::pin!(sleep_until(deadline));
    loop {
        let frame = tokio::select! {
            biased;
            frame = reply.body.frame() => frame,
            () = caller.closed() => return PumpEnd::CallerGone,
            () = timer.as_mut() => return PumpEnd::TimedOut,
        };
        let chunk = match frame {
            None => return PumpEnd::Whole,
            Some(Err(_)) => return PumpEnd::Broken,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let events = match cursor.push(chunk) {
            Ok(None) => continue,
            Ok(Some(events)) => events,
            Err(_) => return PumpEnd::Broken,
        };
        let passed = tokio::select! {
            passed = caller.send(RelayChunk::Bytes(events)) => passed.is_ok(),
            () = timer.as_mut() => return PumpEnd::TimedOut,
        };
        if !passed {
            return PumpEnd::CallerGone;
        }
    }
}

/// Hands over the stream's end and keeps its connection.
async fn finish<D: WireDialect>(
    relay: &CallRelay<D>,
    reply: OpenReply<D>,
    cursor: &mut EventCursor,
    caller: &mpsc::Sender<RelayChunk>,
) {
    if let Some(rest) = cursor.take_rest() {
        // A caller that left gets nothing more.
        drop(caller.send(RelayChunk::Bytes(rest)).await);
    }
    drop(caller.send(RelayChunk::End).await);
    let id = &reply.placed.replica.id;
    relay
        .state
        .connections
        .put(id, reply.sender, reply.head.keep_alive);
}

/// Goes on with a broken stream at another replica, or tells why not.
async fn resume<D: WireDialect>(
    relay: &mut CallRelay<D>,
    broken: OpenReply<D>,
    cursor: &EventCursor,
) -> Result<OpenReply<D>, &'static str> {
    let replica = Arc::clone(&broken.placed.replica);
    // The broken run's connection closes before another run begins.
    drop(broken);
    let end = relay.fail(&replica, SendOutcome::Broken);
    if relay.call.grant.route.repeat != RepeatRule::Resumable {
        return Err("not-resumable");
    }
    if let Some(end) = end {
        return Err(end.reason);
    }
    relay.log.resumed();
    info!(relay.state.log, "stream goes on at another replica";
        "request" => &relay.call.call.head.id, "last-event" => cursor.last_id());
    match relay.dispatch(cursor.last_id()).await {
        Ok(RelayReply::Stream(reply)) => Ok(reply),
        Ok(RelayReply::Whole { .. }) => Err("replica-failed"),
        Err(end) => Err(end.reason),
    }
}
