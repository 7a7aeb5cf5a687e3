//! Filter: sends a request to a replica and retries at others where that is allowed.

use {
    crate::{
        WireDialect,
        body_read::read_body,
        call_log::{CallLog, PromptParts},
        call_stage::{AdmittedCall, PlacementRecord, TimedRecord},
        crash_check::check_for_crash,
        front_state::{FrontState, PlacedCall},
        place::{PlaceRequest, Placement, place},
        relay_end::RelayEnd,
        room::RoomWait,
        send::{OpenReply, send},
    },
    bytes::Bytes,
    hyper::{StatusCode, http::response},
    poplargap_core::forward::{
        AttemptHistory, FinalAnswer, NextStep, RepeatRule, ReplicaEntry, ReplicaId, SendOutcome,
        next_step,
    },
    slog::{info, warn},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Longest reply that is buffered before it is passed to the caller, in bytes.
const WHOLE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Fraction of the latency target after which a request without a reply is retried.
const CALL_ATTEMPT_SHARE: f64 = 0.6;

/// Multiple of the latency target after which a stream without a reply's head is retried.
const STREAM_ATTEMPT_SHARE: f64 = 2.0;

/// Least time for an attempt that may be retried.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(50);

/// Multiple of the expected time after which a request without a reply is retried.
const EXPECTED_TIMES_MAX: u32 = 3;

/// A replica's reply.
#[derive(Debug)]
pub(crate) enum RelayReply<D> {
    /// An event stream whose body follows.
    Stream(OpenReply<D>),
    /// A reply with its whole body.
    Whole { body: Bytes, parts: response::Parts },
}

/// The attempts to send one request.
#[derive(Debug)]
pub(crate) struct CallRelay<D> {
    pub(crate) call: Arc<AdmittedCall>,
    excluded: Vec<ReplicaId>,
    /// Whether the caller has got a part of the answer, which only a stream can continue.
    has_begun: bool,
    history: AttemptHistory,
    pub(crate) log: CallLog,
    /// Whether a replica was unreachable.
    met_unreachable: bool,
    pub(crate) state: Arc<FrontState<D>>,
    /// Attempts whose connection broke before the answer was whole.
    unanswered: u32,
}

impl<D: WireDialect> CallRelay<D> {
    /// Creates the relay of a request and counts the request in the retry budget.
    pub(crate) fn new(state: &Arc<FrontState<D>>, call: AdmittedCall) -> Self {
        let log = CallLog::new(&call, &state.log, &state.metrics);
        let now = state.clock.now();
        state.with_budget(&call.service, |budget| budget.count_request(now));
        Self {
            call: Arc::new(call),
            excluded: Vec::new(),
            has_begun: false,
            history: AttemptHistory::default(),
            log,
            met_unreachable: false,
            state: Arc::clone(state),
            unanswered: 0,
        }
    }

    /// Sends the request until a replica replies or no further attempt is allowed.
    ///
    /// `last_event` is the id of the event after which a stream resumes.
    pub(crate) async fn dispatch(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<RelayReply<D>, RelayEnd> {
        loop {
            if let Some(hash) = self.blocking_hash() {
                return Err(self.refuse_blocked(hash));
            }
            let (placed, placement) = self.find_room().await?;
            let timed = placement.timed;
            self.log.record_placement(placement);
            let replica = Arc::clone(&placed.replica);
            let deadline = self.attempt_deadline(timed.map(|timed| timed.expected));
            let sent_at = Instant::now();
            let reply = match send(&self.state, &self.call, placed, last_event, deadline).await {
                Ok(reply) => self.read_reply(reply).await,
                Err(outcome) => Err((outcome, None)),
            };
            let (outcome, error_reply) = match reply {
                Ok(reply) => {
                    if let Some(timed) = timed {
                        self.record_time(&timed, sent_at.elapsed());
                    }
                    if matches!(&reply, RelayReply::Whole { parts, .. } if parts.status.is_success())
                    {
                        self.record_answer(&replica);
                    }
                    self.record_success(&replica);
                    return Ok(reply);
                }
                Err(failure) => failure,
            };
            if let Some(end) = self.record_failure(&replica, outcome) {
                return error_reply.ok_or(end);
            }
        }
    }

    /// Waits until there is room for the request at a replica, and counts it there.
    async fn find_room(&mut self) -> Result<(PlacedCall<D>, PlacementRecord), RelayEnd> {
        let mut wait: Option<RoomWait<D>> = None;
        loop {
            let request = PlaceRequest {
                call: &self.call,
                excluded: &self.excluded,
                is_first: wait.is_none() && self.history.tries == 0,
                prefers_local: self.met_unreachable,
                wait: wait.as_ref(),
                waited: self.log.waited(),
            };
            match place(&self.state, &request) {
                Placement::Placed(placed, placement) => {
                    self.end_wait(wait, "sent");
                    return Ok((placed, *placement));
                }
                Placement::Wait(pause) => {
                    wait.get_or_insert_with(|| RoomWait::join(&self.state, &self.call))
                        .pause(pause)
                        .await;
                }
                Placement::Refused { expected, reason } => {
                    self.end_wait(wait, "refused");
                    let time_left = self.call.time_left();
                    return Err(RelayEnd::without_room(
                        self.unanswered_end(),
                        reason,
                        expected,
                        time_left,
                    ));
                }
                Placement::NoReplica => {
                    self.end_wait(wait, "no-replica");
                    return Err(self.no_replica());
                }
            }
        }
    }

    fn end_wait(&mut self, wait: Option<RoomWait<D>>, outcome: &'static str) {
        if let Some(wait) = wait {
            self.log.record_wait(wait.waited());
            wait.close(outcome);
        }
    }

    /// Records how long an answer took against what was expected.
    fn record_time(&self, timed: &TimedRecord, time: Duration) {
        let service = &self.call.service;
        let expected = timed.expected.as_secs_f64().max(f64::MIN_POSITIVE);
        let ratio = time.as_secs_f64() / expected;
        let metrics = self.state.metrics.room();
        metrics.record_expected_ratio(service, ratio);
        let mut tracker = self.state.tracker();
        tracker.record_work(service, time, timed.factor);
    }

    /// Records a failed attempt; returns the end of the request unless it may be retried.
    pub(crate) fn record_failure(
        &mut self,
        replica: &ReplicaEntry,
        outcome: SendOutcome,
    ) -> Option<RelayEnd> {
        let now = self.state.clock.now();
        if outcome == SendOutcome::Broken {
            self.unanswered += 1;
            check_for_crash(&self.state, replica, &self.call);
        }
        self.history.record(outcome);
        self.met_unreachable |= outcome == SendOutcome::Unreachable;
        let change = self.state.tracker().record_failure(replica, outcome, now);
        let name: &'static str = outcome.into();
        self.state.metrics.record_attempt(&self.call.service, name);
        let route = &self.call.grant.route;
        let time_left = self.call.time_left();
        let step = next_step(route.repeat, route.max_attempts, self.history, time_left);
        let (end, reason) = self.apply_suspicion(step, name);
        info!(self.state.log, "attempt failed";
            "request" => &self.call.received.head.id, "replica" => replica.id.as_ref(),
            "replica-data-centre" => replica.data_centre.as_ref(), "outcome" => name,
            "tries" => self.history.tries, "possible-runs" => self.history.possible_runs,
            "events" => self.log.events(), "prompt" => %PromptParts(&self.call.received.head.prompt),
            "time-left-ms" => crate::call_log::millis(time_left),
            "replica-ejected" => change.replica, "next" => reason);
        if change.centre {
            warn!(self.state.log, "data centre is unreachable";
                "request" => &self.call.received.head.id,
                "replica-data-centre" => replica.data_centre.as_ref());
        }
        // A replica that was full may have room again; the rule for room decides.
        if !(outcome == SendOutcome::NotExecuted && self.log.is_timed()) {
            self.excluded.push(Arc::clone(&replica.id));
        }
        end.map(|answer| RelayEnd::new(answer, reason))
    }

    /// Records that a replica wrote its whole answer without crashing.
    pub(crate) fn record_answer(&self, replica: &ReplicaEntry) {
        let identity = &self.call.identity;
        self.state
            .crashes
            .record_answer(identity, replica.started_ms);
    }

    /// Resumes a stream of which the caller has got a part; the error is the reason if that isn't
    /// possible.
    pub(crate) async fn resume(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<OpenReply<D>, &'static str> {
        self.has_begun = true;
        match self.dispatch(last_event).await {
            Ok(RelayReply::Stream(reply)) => Ok(reply),
            Ok(RelayReply::Whole { .. }) => Err("replica-failed"),
            Err(end) => Err(end.reason),
        }
    }

    /// Returns whether a stream that its replica still sends may resume at another one now.
    pub(crate) fn may_resume(&self) -> bool {
        let route = &self.call.grant.route;
        let runs = self.history.possible_runs + 1;
        let has_time = self.call.time_left() > route.latency_target;
        route.repeat == RepeatRule::Resumable && runs < route.max_attempts && has_time && {
            let now = self.state.clock.now();
            let service = &self.call.service;
            self.state
                .with_budget(service, |budget| budget.has_retry(now))
        }
    }

    fn blocking_hash(&self) -> Option<u64> {
        let workspace = self.call.workspace();
        self.state
            .crashes
            .blocking_hash(&self.call.identity, workspace)
    }

    /// Ends a request that crashes replicas, by itself or by a part of its prompt.
    fn refuse_blocked(&self, hash: u64) -> RelayEnd {
        info!(self.state.log, "request isn't sent, since it or a part of its prompt crashes replicas";
            "request" => &self.call.received.head.id, "part" => format!("{hash:x}"),
            "possible-runs" => self.history.possible_runs);
        RelayEnd::blocked(self.unanswered_end())
    }

    /// Ends a request that may crash further replicas; else takes a retry from the budget.
    fn apply_suspicion(
        &self,
        step: NextStep,
        cause: &'static str,
    ) -> (Option<FinalAnswer>, &'static str) {
        let identity = &self.call.identity;
        let may_retry = self.state.crashes.may_retry(identity, self.unanswered);
        if matches!(step, NextStep::Retry { .. }) && !may_retry {
            return (Some(self.unanswered_end()), "may-crash-replicas");
        }
        self.apply_budget(step, cause)
    }

    /// Returns the answer to a request that is given up.
    fn unanswered_end(&self) -> FinalAnswer {
        if self.history.possible_runs > 0 {
            FinalAnswer::Lost
        } else {
            FinalAnswer::Refused
        }
    }

    /// Takes a retry from the budget if the step uses it; ends the request if there is none.
    fn apply_budget(
        &self,
        step: NextStep,
        cause: &'static str,
    ) -> (Option<FinalAnswer>, &'static str) {
        match step {
            NextStep::Answer(answer) => (Some(answer), cause),
            NextStep::Retry { uses_budget: false } => (None, "retry"),
            NextStep::Retry { uses_budget: true } => {
                let now = self.state.clock.now();
                let service = &self.call.service;
                if self
                    .state
                    .with_budget(service, |budget| budget.take_retry(now))
                {
                    return (None, "retry");
                }
                (Some(self.unanswered_end()), "retry-budget")
            }
        }
    }

    fn record_success(&self, replica: &ReplicaEntry) {
        self.state
            .metrics
            .record_attempt(&self.call.service, "answered");
        let change = self.state.tracker().record_success(replica);
        if change.replica {
            info!(self.state.log, "replica is healthy again";
                "request" => &self.call.received.head.id, "replica" => replica.id.as_ref());
        }
        if change.centre {
            info!(self.state.log, "data centre is reachable again";
                "request" => &self.call.received.head.id,
                "replica-data-centre" => replica.data_centre.as_ref());
        }
    }

    fn no_replica(&self) -> RelayEnd {
        let now = self.state.clock.now();
        let view = Arc::clone(&self.state.replicas.borrow());
        let replicas = view.replicas(&self.call.service);
        let drain = self.state.settings.drain;
        let refusal = self.state.tracker().refusal_time(replicas, drain, now);
        RelayEnd::without_replica(self.unanswered_end(), refusal)
    }

    /// Returns the deadline of the current attempt: it is earlier than the request's deadline if
    /// the request may be retried.
    ///
    /// `expected` is the expected time of the answer, if it is known.
    fn attempt_deadline(&self, expected: Option<Duration>) -> Instant {
        let route = &self.call.grant.route;
        let may_retry =
            route.repeat.is_repeatable() && self.history.possible_runs + 1 < route.max_attempts;
        if !may_retry {
            return self.call.deadline;
        }
        let share = if route.is_stream {
            STREAM_ATTEMPT_SHARE
        } else {
            CALL_ATTEMPT_SHARE
        };
        let expected = expected.unwrap_or_default() * EXPECTED_TIMES_MAX;
        let time = route.latency_target.mul_f64(share);
        let time = time.max(expected).max(ATTEMPT_TIME_MIN);
        self.call.deadline.min(Instant::now() + time)
    }

    /// Returns the time by which a reply's body must have arrived; it leaves time for a retry.
    fn body_deadline(&self) -> Instant {
        let route = &self.call.grant.route;
        let may_retry =
            route.repeat.is_repeatable() && self.history.possible_runs + 1 < route.max_attempts;
        let parts = if may_retry { 2 } else { 1 };
        Instant::now() + self.call.time_left() / parts
    }

    /// Reads a reply's body unless it is a stream; a server error is returned with its outcome.
    async fn read_reply(
        &mut self,
        reply: OpenReply<D>,
    ) -> Result<RelayReply<D>, (SendOutcome, Option<RelayReply<D>>)> {
        let status = reply.parts.status;
        self.log.record_reply(status.as_u16());
        let route = &self.call.grant.route;
        if route.is_stream && status.is_success() {
            if self.has_begun && !(status == StatusCode::OK && reply.is_event_stream()) {
                return Err((SendOutcome::Broken, None));
            }
            return Ok(RelayReply::Stream(reply));
        }
        let OpenReply {
            body,
            connection,
            head,
            parts,
            placed,
        } = reply;
        let end = self.body_deadline();
        let body = match read_body(body, WHOLE_BYTES_MAX, end, &self.state.bodies).await {
            Ok(body) => body,
            Err(error) => {
                info!(self.state.log, "reply's body can't be read";
                    "request" => &self.call.received.head.id,
                    "replica" => placed.replica.id.as_ref(), "reason" => %error);
                return Err((SendOutcome::Broken, None));
            }
        };
        let id = &placed.replica.id;
        self.state.connections.put(id, connection, head.keep_alive);
        if head.claims_not_run {
            info!(self.state.log, "replica's status claims that the request didn't run; it isn't passed on";
                "request" => &self.call.received.head.id, "replica" => id.as_ref(),
                "status" => status.as_u16());
            return Err((SendOutcome::Failed, None));
        }
        let whole = RelayReply::Whole { body, parts };
        if status.is_server_error() {
            return Err((SendOutcome::Failed, Some(whole)));
        }
        Ok(whole)
    }
}
