//! Queue, batch slots and prefix cache of one engine.

use {
    super::{
        EngineSettings, LedgerRecord, LoadRecord, PeakRecord, PrefixCache, RunOutcome, RunRecord,
        UsageDetails, UsageRecord,
        cache_log::CacheLog,
        engine_order::OrderLedger,
        load_record::LoadHistory,
        run_request::{RefusalReason, RunEvent, RunNumber, RunRequest},
    },
    poplargap_core::catalogue::PriorityClass,
    std::collections::BTreeMap,
    tokio::time::Instant,
};

/// A request that occupies a batch slot.
#[derive(Debug)]
struct RunningRequest {
    next_index: usize,
    ready_at: Instant,
    record_index: usize,
    request: RunRequest,
}

/// State of one engine, owned by its task.
#[derive(Debug)]
pub(super) struct BatchState {
    pub(super) cache_log: CacheLog,
    pub(super) draining: bool,
    pub(super) orders: OrderLedger,
    cache: PrefixCache,
    history: LoadHistory,
    lifetime_peak: usize,
    next_step: Option<Instant>,
    peak: usize,
    records: Vec<RunRecord>,
    running: Vec<RunningRequest>,
    settings: EngineSettings,
    waiting: BTreeMap<(PriorityClass, RunNumber), RunRequest>,
}

impl BatchState {
    pub(super) fn new(settings: EngineSettings, now: Instant) -> Self {
        let load = LoadRecord {
            slots: settings.slots,
            ..LoadRecord::default()
        };
        Self {
            cache: PrefixCache::new(settings.cache_blocks),
            cache_log: CacheLog::new(settings.cache_event_lag),
            draining: false,
            history: LoadHistory::new(settings.load_lag, load, now),
            lifetime_peak: 0,
            next_step: None,
            orders: OrderLedger::new(settings.fencing),
            peak: 0,
            records: Vec::new(),
            running: Vec::new(),
            settings,
            waiting: BTreeMap::new(),
        }
    }

    /// Cancels the request with `number`, whether it is waiting or running.
    pub(super) fn cancel(&mut self, number: RunNumber, lose_events: bool, now: Instant) {
        self.cancel_where(|request| request.number == number, lose_events, now);
    }

    /// Cancels all requests with `request_id`; returns whether there were any.
    pub(super) fn cancel_by_id(
        &mut self,
        request_id: &str,
        lose_events: bool,
        now: Instant,
    ) -> bool {
        self.cancel_where(|request| request.request_id == request_id, lose_events, now)
    }

    pub(super) fn ledger(&self) -> LedgerRecord {
        LedgerRecord {
            orders: self.orders.records(),
            peak: self.lifetime_peak,
            runs: self.records.clone(),
        }
    }

    pub(super) fn load(&self) -> LoadRecord {
        LoadRecord {
            cached_blocks: self.cache.len(),
            running: self.running.len(),
            slots: self.settings.slots,
            waiting: self.waiting.len(),
        }
    }

    /// Returns the time of the next decode step, or `None` while no request is running.
    pub(super) fn next_step(&self) -> Option<Instant> {
        self.next_step
    }

    pub(super) fn peak(&mut self, reset: bool) -> PeakRecord {
        let in_flight = self.load().in_flight();
        let peak = self.peak;
        if reset {
            self.peak = in_flight;
        }
        PeakRecord { in_flight, peak }
    }

    /// Returns the load that the engine reports: the one of `load_lag` ago.
    pub(super) fn reported_load(&mut self, now: Instant) -> LoadRecord {
        self.history.reported(now)
    }

    /// Performs all decode steps that are due at `now`.
    pub(super) fn step(&mut self, lose_events: bool, now: Instant) {
        while let Some(step_at) = self.next_step
            && step_at <= now
        {
            self.step_once(step_at, lose_events);
            self.expire_waiting(now);
            self.fill_slots(now);
            self.next_step = (!self.running.is_empty())
                .then(|| step_at + self.settings.decode_step(self.running.len()));
        }
        self.record_load(now);
    }

    /// Starts, queues or refuses a request.
    pub(super) fn submit(&mut self, request: RunRequest, now: Instant) {
        if self.draining {
            refuse(&request, RefusalReason::Draining);
            return;
        }
        self.waiting
            .insert((request.priority, request.number), request);
        self.record_load(now);
        self.expire_waiting(now);
        self.fill_slots(now);
        self.record_load(now);
    }

    fn cancel_where(
        &mut self,
        matches: impl Fn(&RunRequest) -> bool,
        lose_events: bool,
        now: Instant,
    ) -> bool {
        let before = self.load().in_flight();
        self.waiting.retain(|_, request| {
            let cancelled = matches(request);
            if cancelled {
                refuse(request, RefusalReason::Cancelled);
            }
            !cancelled
        });
        let cancelled: Vec<_> = self
            .running
            .extract_if(.., |running| matches(&running.request))
            .collect();
        for running in cancelled {
            self.finish(&running, RunOutcome::Cancelled, lose_events, now);
        }
        let found = self.load().in_flight() < before;
        self.fill_slots(now);
        self.record_load(now);
        found
    }

    /// Refuses waiting requests whose deadline has passed.
    fn expire_waiting(&mut self, now: Instant) {
        self.waiting.retain(|_, request| {
            let passed = request.deadline.is_some_and(|deadline| deadline <= now);
            if passed {
                refuse(request, RefusalReason::DeadlinePassed);
            }
            !passed
        });
    }

    fn fill_slots(&mut self, now: Instant) {
        while self.running.len() < self.settings.slots
            && let Some((_, request)) = self.waiting.pop_first()
        {
            self.start(request, now);
        }
    }

    fn record_load(&mut self, now: Instant) {
        let load = self.load();
        self.peak = self.peak.max(load.in_flight());
        self.lifetime_peak = self.lifetime_peak.max(load.in_flight());
        self.history.push(load, now);
    }

    fn finish(
        &mut self,
        running: &RunningRequest,
        outcome: RunOutcome,
        lose_events: bool,
        now: Instant,
    ) {
        let blocks = running.request.chain.blocks(running.next_index);
        let change = self.cache.insert(blocks);
        self.cache_log.push(change, lose_events, now);
        self.records[running.record_index].outcome = outcome;
    }

    fn start(&mut self, request: RunRequest, now: Instant) {
        let blocks = self.cache.lookup(request.chain.blocks(request.from_index));
        let cached_tokens = request.chain.cached_tokens(blocks);
        let prompt_tokens = request.chain.prompt_tokens();
        let cached = blocks * self.settings.block_tokens.get();
        let uncached = (prompt_tokens + request.from_index).saturating_sub(cached);
        self.records.push(RunRecord {
            cached_tokens,
            chat_id: request.chat_id.clone(),
            from_index: request.from_index,
            outcome: RunOutcome::Running,
            prompt_tokens,
            request_id: request.request_id.clone(),
            tokens: 0,
        });
        let running = RunningRequest {
            next_index: request.from_index,
            ready_at: now + self.settings.prefill(uncached),
            record_index: self.records.len() - 1,
            request,
        };
        let events = running.request.events.clone();
        self.running.push(running);
        let load = self.load();
        // If the caller disconnected, its handler's guard sends a message that cancels the run.
        let _sent = events.send(RunEvent::Started { load });
        let first_step = now + self.settings.decode_step(1);
        self.next_step.get_or_insert(first_step);
    }

    /// Produces one token for each running request that has completed its prefill.
    fn step_once(&mut self, step_at: Instant, lose_events: bool) {
        for running in &mut self.running {
            if running.ready_at > step_at {
                continue;
            }
            if running.next_index < running.request.script.len() {
                let index = running.next_index;
                running.next_index += 1;
                self.records[running.record_index].tokens += 1;
                let _sent = running.request.events.send(RunEvent::Token { index });
            }
            if running.next_index == running.request.from_index + 1 {
                let change = self.cache.insert(running.request.chain.blocks(0));
                self.cache_log.push(change, lose_events, step_at);
            }
        }
        let finished: Vec<_> = self
            .running
            .extract_if(.., |running| {
                running.ready_at <= step_at && running.next_index >= running.request.script.len()
            })
            .collect();
        for running in finished {
            self.finish(&running, RunOutcome::Complete, lose_events, step_at);
            let usage = self.usage(&running);
            let _sent = running.request.events.send(RunEvent::Finished { usage });
        }
    }

    fn usage(&self, running: &RunningRequest) -> UsageRecord {
        let record = &self.records[running.record_index];
        UsageRecord {
            completion_tokens: running.request.script.len(),
            prompt_tokens: record.prompt_tokens,
            prompt_tokens_details: UsageDetails {
                cached_tokens: record.cached_tokens,
            },
        }
    }
}

fn refuse(request: &RunRequest, reason: RefusalReason) {
    let _sent = request.events.send(RunEvent::Refused { reason });
}
