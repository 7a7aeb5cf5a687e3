//! Filter: holds requests until the daemon has read its first routes.

use {
    crate::{call_log::millis, call_stage::ReceivedCall, front_state::FrontState},
    poplargap_core::{
        forward::{ColdStart, hold_time},
        instant::MonotonicInstant,
    },
    slog::info,
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// Guard that counts a request as held until it is dropped.
#[derive(Debug)]
struct HeldCall<'a>(&'a AtomicUsize);

impl<'a> HeldCall<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for HeldCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Holds a request of a starting daemon until the routes are read or its hold ends.
pub(crate) async fn hold<D>(state: &FrontState<D>, call: ReceivedCall) -> ReceivedCall {
    if state.routes.borrow().is_some() {
        return call;
    }
    let deadline = call.head.deadline.unwrap_or(Duration::MAX);
    let start = ColdStart {
        held: state.held.load(Ordering::Relaxed),
        process_age: state.clock.now().since(MonotonicInstant::default()),
        time_left: deadline.saturating_sub(call.started_at.elapsed()),
    };
    let Some(time) = hold_time(start) else {
        return call;
    };
    let held = HeldCall::new(&state.held);
    let began = Instant::now();
    let mut routes = state.routes.clone();
    let read = timeout(time, routes.wait_for(Option::is_some)).await;
    let is_read = matches!(read, Ok(Ok(_)));
    drop(held);
    info!(state.log, "request held for the first routes"; "request" => &call.head.id,
        "held-ms" => millis(began.elapsed()), "process-age-ms" => millis(start.process_age),
        "held-beside" => start.held, "routes-read" => is_read);
    call
}
