//! Filter: holds requests until the daemon has read its first routes.

use {
    crate::{
        call_log::millis, call_stage::ReceivedCall, count_guard::CountGuard,
        front_state::FrontState,
    },
    poplargap_core::{
        forward::{ColdStart, hold_time},
        instant::MonotonicInstant,
    },
    slog::info,
    std::{sync::atomic::Ordering, time::Duration},
    tokio::time::{Instant, timeout},
};

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
    let held = CountGuard::new(&state.held);
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
