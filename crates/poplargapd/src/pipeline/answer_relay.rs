//! Sends a chat to shard owners until its answer is complete, resuming it after interruptions.

use {
    super::{
        Identity, Placement, RequestContext, RequestGuard, RequestProblem, RouteHint, TraceStep,
        owner_search::{self, OwnerSearch},
        place::{self, OwnerLocation},
    },
    crate::{invariant::Invariant, shards::AnswerFrame},
    bytes::Bytes,
    poplargap_core::{
        answer::{AnswerTracker, EventKind, EventSplitter, TokenUsage},
        name::{ChatId, RequestId},
        retry::RunOutcome,
    },
    poplargap_link::envelope::{RefusalReason, RelayEnvelope, RelayRefusal, RelayWork},
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// One chat to be answered by the fleet.
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
    /// The request's class, pool and deadline.
    pub identity: Identity,
    /// Key by which the chat is placed, the same for all its turns.
    pub key: String,
    /// Upper bound on prompt and answer tokens together.
    pub tokens_max: u64,
}

/// Relays one chat's answer over all its attempts.
#[derive(Debug)]
pub struct AnswerRelay<S> {
    frames: Option<mpsc::Receiver<AnswerFrame>>,
    search: OwnerSearch<S>,
    splitter: EventSplitter,
    tracker: AnswerTracker,
    upstream: Option<RouteHint>,
    work: ChatWork,
}

/// Why an attempt at an owner failed.
enum AttemptEnd {
    /// The request can't be retried.
    Problem(RequestProblem),
    /// The owner refused the request.
    Refused(RelayRefusal),
}

impl<S> AnswerRelay<S> {
    /// Prepares a chat without sending it.
    pub fn new(context: Arc<RequestContext<S>>, work: ChatWork) -> Self {
        let tracker = AnswerTracker::new(work.id.clone());
        Self {
            frames: None,
            search: OwnerSearch::new(context, work.id.clone(), work.identity.clone()),
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

    /// Finds an owner that serves the chat from its first missing event.
    ///
    /// # Errors
    ///
    /// Returns a problem when no owner accepts the chat in time.
    pub async fn open(&mut self, guard: &mut RequestGuard<S>) -> Result<(), RequestProblem> {
        while let Some(refusal) = self.open_round(guard).await? {
            self.search.next_round(&refusal).await?;
        }
        Ok(())
    }

    /// Returns the next events for the caller, or `None` once the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns the problem that ends the answer before it is complete.
    pub async fn next(
        &mut self,
        guard: &mut RequestGuard<S>,
    ) -> Result<Option<Vec<Bytes>>, RequestProblem> {
        loop {
            if self.tracker.is_complete() {
                return Ok(None);
            }
            let frame = match &mut self.frames {
                Some(frames) => frames.recv().await,
                None => None,
            };
            let broken = match frame {
                Some(AnswerFrame::Chunk(chunk)) => {
                    let (events, broken) = self.accept_chunk(chunk);
                    if !events.is_empty() {
                        if broken {
                            self.drop_attempt();
                        }
                        return Ok(Some(events));
                    }
                    broken
                }
                Some(AnswerFrame::Upstream(_)) => false,
                Some(AnswerFrame::Ended | AnswerFrame::Refused(_)) | None => true,
            };
            if broken && !self.tracker.is_complete() {
                self.resume(guard).await?;
            }
        }
    }

    /// Checks at the end that a complete answer was forwarded.
    pub fn close(self) {
        self.search.context.invariants.check(
            Invariant::WholeAnswer,
            self.tracker.is_complete(),
            || {
                format!(
                    "request {} ended at event {}",
                    self.work.id,
                    self.tracker.next_index()
                )
            },
        );
    }

    /// Returns the events of a chunk that go to the caller, and whether the attempt has failed.
    fn accept_chunk(&mut self, chunk: Bytes) -> (Vec<Bytes>, bool) {
        let mut events = Vec::new();
        if self.splitter.push(chunk).is_err() {
            return (events, true);
        }
        while let Some(event) = self.splitter.next_event() {
            let dropped = match self.tracker.classify(&event) {
                EventKind::Forward | EventKind::End => {
                    events.push(event);
                    continue;
                }
                EventKind::Comment => continue,
                EventKind::Duplicate => "duplicate",
                EventKind::Foreign => "foreign",
                EventKind::Failed => {
                    self.count_dropped("failed");
                    return (events, true);
                }
                EventKind::Gap => {
                    self.count_dropped("gap");
                    return (events, true);
                }
            };
            self.count_dropped(dropped);
        }
        (events, false)
    }

    fn count_dropped(&self, reason: &str) {
        self.search
            .context
            .metrics
            .events_dropped
            .with_label_values(&[reason])
            .inc();
    }

    fn drop_attempt(&mut self) {
        self.frames = None;
        self.splitter = EventSplitter::default();
    }

    async fn resume(&mut self, guard: &mut RequestGuard<S>) -> Result<(), RequestProblem> {
        self.drop_attempt();
        if !self.work.identity.class.repeatable {
            return Err(owner_search::answer_lost());
        }
        if let Some(route) = self.upstream.take() {
            self.search.avoid(route.upstream);
        }
        self.search.context.metrics.resumes.inc();
        guard.add_step(TraceStep::Resumed {
            index: self.tracker.next_index(),
        });
        self.search.restart();
        self.open(guard).await
    }

    /// Tries every owner once; returns the last refusal when none accepts the chat.
    async fn open_round(
        &mut self,
        guard: &mut RequestGuard<S>,
    ) -> Result<Option<RelayRefusal>, RequestProblem> {
        let catalogue = Arc::clone(&self.search.context.catalogue.borrow());
        let pool = &self.work.identity.pool.name;
        let own = &self.search.context.data_centre;
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
            match self.open_at(&placement, false, guard).await {
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
        match self.open_at(&placement, true, guard).await {
            Ok(()) => Ok(None),
            Err(AttemptEnd::Problem(problem)) => Err(problem),
            Err(AttemptEnd::Refused(refusal)) => Ok(Some(refusal)),
        }
    }

    async fn open_at(
        &mut self,
        placement: &Placement,
        wait: bool,
        guard: &mut RequestGuard<S>,
    ) -> Result<(), AttemptEnd> {
        let shard = &placement.shard;
        let envelope = self.envelope(placement, wait);
        let body = self.work.body.clone();
        let context = &self.search.context;
        let mut frames = match context.locate_owner(shard).await {
            OwnerLocation::Local => context.task.start(envelope, body),
            OwnerLocation::Remote(owner) => context.relays.start_chat(owner, envelope, body),
            OwnerLocation::Unknown => {
                let refusal = RelayRefusal::not_run(RefusalReason::Unreachable);
                return Err(AttemptEnd::Refused(refusal));
            }
        };
        let refusal = match frames.recv().await {
            Some(AnswerFrame::Upstream(upstream)) => {
                self.search.record_answer(shard, &upstream, guard);
                let data_centre = shard.data_centre.clone();
                self.upstream = Some(RouteHint {
                    data_centre,
                    upstream,
                });
                self.frames = Some(frames);
                return Ok(());
            }
            Some(AnswerFrame::Refused(refusal)) => refusal,
            Some(AnswerFrame::Chunk(_) | AnswerFrame::Ended) | None => {
                let mut refusal = RelayRefusal::not_run(RefusalReason::Unreachable);
                refusal.ran = RunOutcome::Unknown;
                refusal
            }
        };
        let recorded = self.search.record_refusal(shard, &refusal, guard);
        recorded.map_err(AttemptEnd::Problem)?;
        Err(AttemptEnd::Refused(refusal))
    }

    fn envelope(&self, placement: &Placement, wait: bool) -> RelayEnvelope {
        let hint = {
            let catalogue = self.search.context.catalogue.borrow();
            let pool = &self.work.identity.pool.name;
            place::hinted_upstream(&catalogue, pool, self.work.hint.as_ref())
        };
        let work = RelayWork::Chat {
            chat: self.work.chat.clone(),
            resume_from: self.tracker.next_index(),
        };
        self.search
            .envelope(&placement.shard, wait, &self.work.key, hint, work)
    }
}
