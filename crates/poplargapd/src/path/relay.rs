//! Carries a chat to homes until its answer is whole, resuming it where an attempt broke off.

use {
    super::{
        Identity, PathContext, PathProblem, Placement, ProblemCode, RouteHint, Settlement,
        TraceStep,
        place::{self, HomeLocation},
    },
    crate::{home::HomeFrame, invariant::Invariant},
    bytes::Bytes,
    poplargap_core::{
        answer::{AnswerTracker, EventSplitter, EventVerdict, TokenUsage},
        home::PlaceRequest,
        name::{ChatId, RequestId, UpstreamName},
        retry::RunOutcome,
    },
    poplargap_link::envelope::{RefusalReason, RelayEnvelope, RelayRefusal, RelayWork},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time},
};

/// Pause before all homes are tried again.
pub(super) const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Longest search for a home that takes a request.
pub(super) const SEARCH_MAX: Duration = Duration::from_secs(5);

/// Most attempts at upstreams for one request.
pub(super) const ATTEMPTS_MAX: u32 = 8;

/// One chat on its way through the fleet.
#[derive(Clone, Debug)]
pub struct ChatWork {
    /// The body for the upstream.
    pub body: Bytes,
    /// The chat.
    pub chat: Option<ChatId>,
    /// Where the chat's last answer came from.
    pub hint: Option<RouteHint>,
    /// The request's id.
    pub id: RequestId,
    /// Who asks for what.
    pub identity: Identity,
    /// Text that stays the same over the turns of the chat.
    pub key: String,
    /// Most prompt and answer tokens.
    pub tokens_max: u64,
}

/// Follows one chat's answer over all its attempts.
#[derive(Debug)]
pub struct AnswerRelay<S> {
    attempts: u32,
    avoid: Vec<UpstreamName>,
    context: Arc<PathContext<S>>,
    frames: Option<mpsc::Receiver<HomeFrame>>,
    sent: bool,
    splitter: EventSplitter,
    tracker: AnswerTracker,
    upstream: Option<RouteHint>,
    work: ChatWork,
}

/// Why an attempt gave way to the next home.
enum AttemptEnd {
    /// The request must not go on.
    Problem(PathProblem),
    /// The home refused.
    Refused(RelayRefusal),
}

impl<S> AnswerRelay<S> {
    /// Prepares a chat without sending it.
    pub fn new(context: Arc<PathContext<S>>, work: ChatWork) -> Self {
        let tracker = AnswerTracker::new(work.id.clone());
        Self {
            attempts: 0,
            avoid: Vec::new(),
            context,
            frames: None,
            sent: false,
            splitter: EventSplitter::default(),
            tracker,
            upstream: None,
            work,
        }
    }

    /// Returns where the answer comes from.
    pub fn route(&self) -> Option<&RouteHint> {
        self.upstream.as_ref()
    }

    /// Returns the answer's token counts, once known.
    pub fn usage(&self) -> Option<TokenUsage> {
        self.tracker.usage()
    }

    /// Finds a home that takes the chat from the first missing event on.
    ///
    /// # Errors
    ///
    /// Returns the refusal when no home takes it in time.
    pub async fn open(&mut self, settlement: &mut Settlement<S>) -> Result<(), PathProblem> {
        let search_end = self.context.clock.now() + SEARCH_MAX;
        loop {
            let refusal = self.open_round(settlement).await?;
            let Some(refusal) = refusal else {
                return Ok(());
            };
            let now = self.context.clock.now();
            if now >= self.work.identity.deadline {
                return Err(self.problem(
                    ProblemCode::DeadlineExceeded,
                    "no home took the request before its deadline",
                ));
            }
            if refusal.reason == RefusalReason::QueueFull {
                let mut problem =
                    self.problem(ProblemCode::QueueFull, "the queue of the pool is full");
                problem.retry_after = refusal.retry_after_ms.map(Duration::from_millis);
                return Err(problem);
            }
            if refusal.reason == RefusalReason::Expired {
                return Err(self.problem(
                    ProblemCode::DeadlineExceeded,
                    "the wait would pass the deadline",
                ));
            }
            if now >= search_end || self.attempts >= ATTEMPTS_MAX {
                return Err(self.problem(ProblemCode::NoUpstream, refusal.reason.to_string()));
            }
            self.avoid.clear();
            time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Returns the next events for the caller, or `None` once the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns the problem that ends the answer before it is whole.
    pub async fn next(
        &mut self,
        settlement: &mut Settlement<S>,
    ) -> Result<Option<Vec<Bytes>>, PathProblem> {
        loop {
            if self.tracker.is_complete() {
                return Ok(None);
            }
            let frame = match &mut self.frames {
                Some(frames) => frames.recv().await,
                None => None,
            };
            let broken = match frame {
                Some(HomeFrame::Chunk(chunk)) => {
                    let (events, broken) = self.judge(chunk);
                    if !events.is_empty() {
                        if broken {
                            self.break_off();
                        }
                        return Ok(Some(events));
                    }
                    broken
                }
                Some(HomeFrame::Upstream(_)) => false,
                Some(HomeFrame::Ended | HomeFrame::Refused(_)) | None => true,
            };
            if broken && !self.tracker.is_complete() {
                self.resume(settlement).await?;
            }
        }
    }

    /// Asserts at the end that a whole answer was forwarded.
    pub fn close(self) {
        self.context
            .invariants
            .check(Invariant::WholeAnswer, self.tracker.is_complete(), || {
                format!(
                    "request {} ended at event {}",
                    self.work.id,
                    self.tracker.next_index()
                )
            });
    }

    fn judge(&mut self, chunk: Bytes) -> (Vec<Bytes>, bool) {
        let mut events = Vec::new();
        if self.splitter.push(chunk).is_err() {
            return (events, true);
        }
        while let Some(event) = self.splitter.next_event() {
            let dropped = match self.tracker.judge(&event) {
                EventVerdict::Forward | EventVerdict::End => {
                    events.push(event);
                    continue;
                }
                EventVerdict::Comment => continue,
                EventVerdict::Duplicate => "duplicate",
                EventVerdict::Foreign => "foreign",
                EventVerdict::Failed => {
                    self.count_dropped("failed");
                    return (events, true);
                }
                EventVerdict::Gap => {
                    self.count_dropped("gap");
                    return (events, true);
                }
            };
            self.count_dropped(dropped);
        }
        (events, false)
    }

    fn count_dropped(&self, reason: &str) {
        self.context
            .metrics
            .events_dropped
            .with_label_values(&[reason])
            .inc();
    }

    fn break_off(&mut self) {
        self.frames = None;
        self.splitter = EventSplitter::default();
    }

    async fn resume(&mut self, settlement: &mut Settlement<S>) -> Result<(), PathProblem> {
        self.break_off();
        if !self.work.identity.class.repeatable {
            return Err(PathProblem::unknown(
                ProblemCode::UpstreamLost,
                "the chat may not be repeated",
            ));
        }
        if let Some(route) = self.upstream.take() {
            self.avoid.push(route.upstream);
        }
        self.context.metrics.resumes.inc();
        settlement.note(TraceStep::Resumed {
            index: self.tracker.next_index(),
        });
        self.open(settlement).await
    }

    /// Tries every home once; returns the last refusal when none takes the chat.
    async fn open_round(
        &mut self,
        settlement: &mut Settlement<S>,
    ) -> Result<Option<RelayRefusal>, PathProblem> {
        let catalogue = Arc::clone(&self.context.catalogue.borrow());
        let pool = &self.work.identity.pool.name;
        let own = &self.context.data_centre;
        let placements = place::candidates(
            &catalogue,
            own,
            pool,
            &self.work.key,
            self.work.hint.as_ref(),
        );
        let mut full: Option<Placement> = None;
        let mut last = RelayRefusal::not_run(RefusalReason::NoUpstream);
        for placement in placements {
            match self.open_at(&placement, false, settlement).await {
                Ok(()) => return Ok(None),
                Err(AttemptEnd::Problem(problem)) => return Err(problem),
                Err(AttemptEnd::Refused(refusal)) => {
                    if refusal.reason == RefusalReason::Full {
                        full.get_or_insert(placement);
                    }
                    last = refusal;
                }
            }
        }
        let Some(placement) = full else {
            return Ok(Some(last));
        };
        match self.open_at(&placement, true, settlement).await {
            Ok(()) => Ok(None),
            Err(AttemptEnd::Problem(problem)) => Err(problem),
            Err(AttemptEnd::Refused(refusal)) => Ok(Some(refusal)),
        }
    }

    async fn open_at(
        &mut self,
        placement: &Placement,
        wait: bool,
        settlement: &mut Settlement<S>,
    ) -> Result<(), AttemptEnd> {
        let shard = &placement.shard;
        let envelope = self.envelope(placement, wait);
        let body = self.work.body.clone();
        let mut frames = match self.context.locate(shard).await {
            HomeLocation::Local => self.context.task.start(envelope, body),
            HomeLocation::Remote(home) => self.context.relays.start_chat(home, envelope, body),
            HomeLocation::Unknown => {
                return Err(AttemptEnd::Refused(RelayRefusal::not_run(
                    RefusalReason::Unreachable,
                )));
            }
        };
        let refusal = match frames.recv().await {
            Some(HomeFrame::Upstream(upstream)) => {
                let shard_name = shard.to_string();
                settlement.note(TraceStep::Placed {
                    shard: shard_name,
                    upstream: upstream.clone(),
                });
                let data_centre = shard.data_centre.clone();
                self.upstream = Some(RouteHint {
                    data_centre,
                    upstream,
                });
                self.attempts += 1;
                self.sent = true;
                self.count_attempt("answering");
                self.frames = Some(frames);
                return Ok(());
            }
            Some(HomeFrame::Refused(refusal)) => refusal,
            Some(HomeFrame::Chunk(_) | HomeFrame::Ended) | None => {
                let mut refusal = RelayRefusal::not_run(RefusalReason::Unreachable);
                refusal.ran = RunOutcome::Unknown;
                refusal
            }
        };
        let reason: &str = refusal.reason.into();
        self.count_attempt(reason);
        settlement.note(TraceStep::Refused {
            reason: refusal.reason,
            shard: shard.to_string(),
        });
        self.note_refusal(placement, &refusal)?;
        Err(AttemptEnd::Refused(refusal))
    }

    fn note_refusal(
        &mut self,
        placement: &Placement,
        refusal: &RelayRefusal,
    ) -> Result<(), AttemptEnd> {
        match (refusal.reason, refusal.home) {
            (RefusalReason::Moved, Some(home)) => self.context.routes.learn(&placement.shard, home),
            (RefusalReason::Moved | RefusalReason::Unreachable, _) => {
                self.context.routes.forget(&placement.shard);
            }
            _ => {}
        }
        if let Some(upstream) = &refusal.upstream {
            self.attempts += 1;
            self.avoid.push(upstream.clone());
        }
        if refusal.ran != RunOutcome::NotRun {
            self.sent = true;
            if !self.work.identity.class.repeatable {
                let problem =
                    PathProblem::unknown(ProblemCode::UpstreamLost, "the chat may not be repeated");
                return Err(AttemptEnd::Problem(problem));
            }
        }
        Ok(())
    }

    fn envelope(&self, placement: &Placement, wait: bool) -> RelayEnvelope {
        let identity = &self.work.identity;
        let catalogue = self.context.catalogue.borrow();
        let left = identity.deadline.since(self.context.clock.now());
        let hint = place::hinted(&catalogue, &identity.pool.name, self.work.hint.as_ref());
        RelayEnvelope {
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            hops: 0,
            place: PlaceRequest {
                avoid: self.avoid.clone(),
                hint,
                key: self.work.key.clone(),
            },
            priority: identity.class.priority,
            repeatable: identity.class.repeatable,
            request_id: self.work.id.clone(),
            shard: placement.shard.clone(),
            wait,
            work: RelayWork::Chat {
                chat: self.work.chat.clone(),
                resume_from: self.tracker.next_index(),
            },
            workspace: identity.class.owner.clone(),
        }
    }

    fn count_attempt(&self, outcome: &str) {
        self.context
            .metrics
            .attempts
            .with_label_values(&[outcome])
            .inc();
    }

    /// Creates a problem that says whether anything may have run.
    fn problem(&self, code: ProblemCode, detail: impl Into<String>) -> PathProblem {
        if self.sent {
            PathProblem::unknown(code, detail)
        } else {
            PathProblem::not_run(code, detail)
        }
    }
}
