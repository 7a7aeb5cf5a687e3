//! Search for a shard owner that serves a request, over several rounds of attempts.

use {
    super::{Identity, ProblemCode, RequestContext, RequestGuard, RequestProblem, TraceStep},
    poplargap_core::{
        instant::MonotonicInstant,
        name::{RequestId, UpstreamName},
        owner::PlaceRequest,
        retry::RunOutcome,
        shard::ShardId,
    },
    poplargap_link::envelope::{RefusalReason, RelayEnvelope, RelayRefusal, RelayWork},
    std::{sync::Arc, time::Duration},
    tokio::time,
};

/// Pause before all owners are tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Longest search for an owner that accepts a request.
const SEARCH_MAX: Duration = Duration::from_secs(5);

/// Most attempts at upstreams for one request.
const ATTEMPTS_MAX: u32 = 8;

/// State of one request's search.
#[derive(Debug)]
pub(super) struct OwnerSearch<S> {
    pub(super) context: Arc<RequestContext<S>>,
    pub(super) id: RequestId,
    pub(super) identity: Identity,
    attempts: u32,
    avoid: Vec<UpstreamName>,
    end: MonotonicInstant,
    sent: u32,
}

impl<S> OwnerSearch<S> {
    /// Creates the search of a request that hasn't been sent yet.
    pub(super) fn new(context: Arc<RequestContext<S>>, id: RequestId, identity: Identity) -> Self {
        let end = context.clock.now() + SEARCH_MAX;
        Self {
            attempts: 0,
            avoid: Vec::new(),
            context,
            end,
            id,
            identity,
            sent: 0,
        }
    }

    /// Restarts the search's time limit after an answer was interrupted.
    pub(super) fn restart(&mut self) {
        self.end = self.context.clock.now() + SEARCH_MAX;
    }

    /// Returns how often the request may have reached an upstream.
    pub(super) fn sent(&self) -> u32 {
        self.sent
    }

    /// Excludes an upstream from the next attempts.
    pub(super) fn avoid(&mut self, upstream: UpstreamName) {
        self.avoid.push(upstream);
    }

    /// Records that an upstream answers the request.
    pub(super) fn record_answer(
        &mut self,
        shard: &ShardId,
        upstream: &UpstreamName,
        guard: &mut RequestGuard<S>,
    ) {
        self.attempts += 1;
        self.sent += 1;
        self.count_attempt("answering");
        guard.add_step(TraceStep::Placed {
            shard: shard.to_string(),
            upstream: upstream.clone(),
        });
    }

    /// Records an owner's refusal.
    ///
    /// # Errors
    ///
    /// Returns a problem when the request may have run and may not be repeated.
    pub(super) fn record_refusal(
        &mut self,
        shard: &ShardId,
        refusal: &RelayRefusal,
        guard: &mut RequestGuard<S>,
    ) -> Result<(), RequestProblem> {
        self.count_attempt(refusal.reason.into());
        guard.add_step(TraceStep::Refused {
            reason: refusal.reason,
            shard: shard.to_string(),
        });
        match (refusal.reason, refusal.owner) {
            (RefusalReason::Moved, Some(owner)) => self.context.owners.insert(shard, owner),
            (RefusalReason::Moved | RefusalReason::Unreachable, _) => {
                self.context.owners.remove(shard);
            }
            _ => {}
        }
        if let Some(upstream) = &refusal.upstream {
            self.attempts += 1;
            self.avoid.push(upstream.clone());
        }
        if refusal.ran == RunOutcome::NotRun {
            return Ok(());
        }
        self.sent += 1;
        if self.identity.class.repeatable {
            return Ok(());
        }
        Err(answer_lost())
    }

    /// Pauses before the next round, after one in which no owner accepted the request.
    ///
    /// # Errors
    ///
    /// Returns a problem when the deadline, a full queue or a search limit rules out another round.
    pub(super) async fn next_round(
        &mut self,
        refusal: &RelayRefusal,
    ) -> Result<(), RequestProblem> {
        let now = self.context.clock.now();
        if now >= self.identity.deadline || refusal.reason == RefusalReason::Expired {
            let detail = "no home can answer before the deadline";
            return Err(self.problem(ProblemCode::DeadlineExceeded, detail));
        }
        if refusal.reason == RefusalReason::QueueFull {
            let mut problem = self.problem(ProblemCode::QueueFull, "the queue of the pool is full");
            problem.retry_after = refusal.retry_after_ms.map(Duration::from_millis);
            return Err(problem);
        }
        if now >= self.end || self.attempts >= ATTEMPTS_MAX {
            return Err(self.problem(ProblemCode::NoUpstream, refusal.reason.to_string()));
        }
        self.avoid.clear();
        time::sleep(ROUND_PAUSE).await;
        Ok(())
    }

    /// Creates the envelope in which a request goes to a shard's owner.
    pub(super) fn envelope(
        &self,
        shard: &ShardId,
        wait: bool,
        key: &str,
        hint: Option<UpstreamName>,
        work: RelayWork,
    ) -> RelayEnvelope {
        let class = &self.identity.class;
        let left = self.identity.deadline.since(self.context.clock.now());
        RelayEnvelope {
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            hops: 0,
            place: PlaceRequest {
                avoid: self.avoid.clone(),
                hint,
                key: key.to_owned(),
            },
            priority: class.priority,
            repeatable: class.repeatable,
            request_id: self.id.clone(),
            shard: shard.clone(),
            wait,
            work,
            workspace: class.owner.clone(),
        }
    }

    /// Creates a problem that reports whether the request may have run.
    fn problem(&self, code: ProblemCode, detail: impl Into<String>) -> RequestProblem {
        if self.sent > 0 {
            RequestProblem::unknown(code, detail)
        } else {
            RequestProblem::not_run(code, detail)
        }
    }

    fn count_attempt(&self, outcome: &str) {
        let attempts = &self.context.metrics.attempts;
        attempts.with_label_values(&[outcome]).inc();
    }
}

/// Returns the problem of a request whose answer was lost and that may not be repeated.
pub(super) fn answer_lost() -> RequestProblem {
    let detail = "the request was sent and its answer was lost; it may not be repeated";
    RequestProblem::unknown(ProblemCode::UpstreamLost, detail)
}
