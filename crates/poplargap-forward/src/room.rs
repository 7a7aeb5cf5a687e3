//! A request that waits for room at the replicas of its service.

use {
    crate::{
        call_log::millis,
        call_stage::AdmittedCall,
        front_state::FrontState,
        waiting_rooms::{ServiceRoom, wait_entry},
    },
    poplargap_core::forward::WaitTicket,
    slog::info,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// What was known when a waiting request last looked for room.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoomInputs {
    /// Requests a second of the service at all daemons.
    pub(crate) demand: f64,
    /// Expected time of an answer if the request were sent.
    pub(crate) expected: Duration,
    /// Requests a second that the replicas answer with all slots in use.
    pub(crate) nominal: f64,
    /// Mean of the requests that wait at the replicas for each of their slots.
    pub(crate) queue: f64,
    /// Share of the requests that the replicas bear.
    pub(crate) share: f64,
}

/// A request that waits for room; it leaves the queue when it is dropped, as when its caller leaves.
#[derive(Debug)]
pub(crate) struct RoomWait<D> {
    began: Instant,
    call: Arc<AdmittedCall>,
    inputs: Mutex<RoomInputs>,
    outcome: &'static str,
    room: Arc<ServiceRoom>,
    state: Arc<FrontState<D>>,
    ticket: WaitTicket,
}

impl<D> RoomWait<D> {
    pub(crate) fn join(state: &Arc<FrontState<D>>, call: &Arc<AdmittedCall>) -> Self {
        let room = state.rooms.room(&call.service);
        let ticket = room.queue().join(wait_entry(call, state.clock.now()));
        state
            .metrics
            .room()
            .add_waiting(&call.service, call.priority(), 1);
        Self {
            began: Instant::now(),
            call: Arc::clone(call),
            inputs: Mutex::default(),
            outcome: "caller-gone",
            room,
            state: Arc::clone(state),
            ticket,
        }
    }

    /// Returns whether it is this request's turn.
    pub(crate) fn is_first(&self) -> bool {
        let now = self.state.clock.now();
        self.room.queue().first(now) == Some(self.ticket)
    }

    /// Keeps what was known at the last look, for the log.
    pub(crate) fn record(&self, inputs: RoomInputs) {
        *self.inputs.lock().unwrap_or_else(PoisonError::into_inner) = inputs;
    }

    /// Returns the time for which the request has waited.
    pub(crate) fn waited(&self) -> Duration {
        self.began.elapsed()
    }

    /// Waits until the room may have changed, at most for `pause`.
    pub(crate) async fn pause(&self, pause: Duration) {
        // The end of the pause needs no handling: the caller looks again in both cases.
        let _ = timeout(pause, self.room.changed.notified()).await;
    }

    /// Ends the wait.
    pub(crate) fn close(mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl<D> Drop for RoomWait<D> {
    fn drop(&mut self) {
        let waiting = {
            let mut queue = self.room.queue();
            queue.leave(self.ticket);
            queue.len()
        };
        self.room.changed.notify_one();
        let (call, waited) = (&self.call, self.began.elapsed());
        let metrics = self.state.metrics.room();
        metrics.add_waiting(&call.service, call.priority(), -1);
        metrics.record_wait(&call.service, self.outcome, waited);
        let inputs = *self.inputs.lock().unwrap_or_else(PoisonError::into_inner);
        info!(self.state.log, "wait for room ended";
            "request" => &call.received.head.id, "service" => call.service.as_ref(),
            "priority" => call.priority(), "outcome" => self.outcome,
            "waited-ms" => millis(waited), "waiting-beside" => waiting,
            "demand" => inputs.demand.round() as i64, "nominal" => inputs.nominal.round() as i64,
            "share" => inputs.share, "queue" => inputs.queue,
            "expected-ms" => millis(inputs.expected),
            "time-left-ms" => millis(call.time_left()),
            "target-left-ms" => millis(call.target_left()));
    }
}
