//! Wanted against acknowledged orders of a data centre's engines.

use {
    super::{AcknowledgedOrders, AcknowledgedRecord, OrderStep, OrderTimes, ordered_steps},
    crate::{catalogue::UpstreamEntry, instant::MonotonicInstant, name::UpstreamName},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    strum::IntoStaticStr,
};

/// Pause after the first failure of an order; each further one doubles it.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between two tries of an order.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(30);

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderOutcome {
    /// The engine carried the order out.
    Accepted,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Nothing reached the engine.
    NotSent,
    /// The engine refused the order for another reason.
    Refused,
    /// No answer came: the engine may have carried the order out, or may still do so.
    Unknown,
}

/// An order that can go out now.
#[derive(Clone, Debug)]
pub struct DueOrder {
    /// The order.
    pub step: OrderStep,
    /// The engine.
    pub upstream: Arc<UpstreamEntry>,
}

/// An order without an answer that may still be carried out.
#[derive(Clone, Debug)]
struct UnsettledOrder {
    over: MonotonicInstant,
    step: OrderStep,
}

#[derive(Clone, Debug)]
struct EngineState {
    acknowledged: Vec<OrderStep>,
    address: SocketAddr,
    entry: Arc<UpstreamEntry>,
    failures: u32,
    fence: u64,
    in_flight: Option<(OrderStep, MonotonicInstant)>,
    retry: MonotonicInstant,
    unsettled: Option<UnsettledOrder>,
    wanted: Vec<OrderStep>,
}

impl EngineState {
    fn new(entry: Arc<UpstreamEntry>, acknowledged: Option<&AcknowledgedOrders>) -> Self {
        let known = acknowledged.filter(|known| known.address == entry.address);
        Self {
            acknowledged: known.map(|known| known.steps.clone()).unwrap_or_default(),
            address: entry.address,
            failures: 0,
            fence: known.map(|known| known.fence).unwrap_or_default(),
            in_flight: None,
            retry: MonotonicInstant::default(),
            unsettled: None,
            wanted: ordered_steps(&entry),
            entry,
        }
    }

    fn update(&mut self, entry: &Arc<UpstreamEntry>) {
        if self.address != entry.address {
            self.acknowledged.clear();
            self.address = entry.address;
        }
        let wanted = ordered_steps(entry);
        if wanted != self.wanted {
            self.failures = 0;
            self.retry = MonotonicInstant::default();
            self.wanted = wanted;
        }
        self.entry = Arc::clone(entry);
    }

    /// Returns how many wanted orders are acknowledged; later ones build on earlier ones.
    fn done(&self) -> usize {
        let pairs = self.wanted.iter().zip(&self.acknowledged);
        pairs.take_while(|(wanted, known)| wanted == known).count()
    }

    fn next(&self) -> Option<&OrderStep> {
        self.wanted.get(self.done())
    }

    /// Returns whether the next order replaces something that the engine acknowledged.
    fn replaces(&self) -> bool {
        self.next().is_some() && self.acknowledged.len() > self.done()
    }

    fn due(&self, now: MonotonicInstant) -> Option<&OrderStep> {
        let step = self.next()?;
        if self.in_flight.is_some() || self.replaces() || now < self.retry {
            return None;
        }
        let blocked = self
            .unsettled
            .as_ref()
            .is_some_and(|unsettled| unsettled.step != *step && now < unsettled.over);
        (!blocked).then_some(step)
    }

    fn is_busy(&self) -> bool {
        self.in_flight.is_some() || self.unsettled.is_some()
    }

    /// Returns whether the engine loads weights, or would if it were ordered what is due.
    fn loads_weights(&self, now: MonotonicInstant) -> bool {
        let in_flight = self.in_flight.iter().map(|(step, _)| step);
        let unsettled = self.unsettled.iter().map(|unsettled| &unsettled.step);
        let mut steps = in_flight.chain(unsettled).chain(self.due(now));
        steps.any(|step| step.order.loads_weights())
    }

    fn fail(&mut self, now: MonotonicInstant) {
        let pause = RETRY_PAUSE * 2_u32.saturating_pow(self.failures.min(16));
        self.retry = now + pause.min(RETRY_PAUSE_MAX);
        self.failures = self.failures.saturating_add(1);
    }
}

/// What one holder wants of its engines and what they acknowledged.
#[derive(Clone, Debug)]
pub struct OrderBook {
    engines: BTreeMap<UpstreamName, EngineState>,
    stored: AcknowledgedRecord,
    times: OrderTimes,
}

impl OrderBook {
    /// Creates a book from what earlier holders left in the store.
    #[must_use]
    pub fn new(stored: AcknowledgedRecord, times: OrderTimes) -> Self {
        Self {
            engines: BTreeMap::new(),
            stored,
            times,
        }
    }

    /// Takes the entries in force.
    ///
    /// Engines without an entry are forgotten once no order to them can be under way. Returns
    /// whether any was.
    pub fn update<'a>(
        &mut self,
        entries: impl IntoIterator<Item = &'a Arc<UpstreamEntry>>,
    ) -> bool {
        let mut before = std::mem::take(&mut self.engines);
        for entry in entries {
            let state = if let Some(mut state) = before.remove(&entry.name) {
                state.update(entry);
                state
            } else {
                let stored = self.stored.upstreams.remove(&entry.name);
                EngineState::new(Arc::clone(entry), stored.as_ref())
            };
            self.engines.insert(entry.name.clone(), state);
        }
        let mut forgotten = false;
        for (name, mut state) in before {
            if state.is_busy() {
                state.wanted.clear();
                self.engines.insert(name, state);
            } else {
                forgotten = true;
            }
        }
        forgotten
    }

    /// Returns whether no engine is under orders.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Drops acknowledged orders that the next ones replace; returns whether there were any.
    ///
    /// The store must have the record that follows before the next order goes out: otherwise an
    /// edit that is taken back would leave an engine that a later holder takes for the earlier one.
    pub fn remove_replaced(&mut self) -> bool {
        let mut trimmed = false;
        for state in self.engines.values_mut() {
            if state.in_flight.is_none() && state.replaces() {
                state.acknowledged.truncate(state.done());
                trimmed = true;
            }
        }
        trimmed
    }

    /// Returns the orders that can go out now, at most one for each engine.
    pub fn due(&self, now: MonotonicInstant) -> impl Iterator<Item = DueOrder> {
        self.engines.values().filter_map(move |state| {
            let step = state.due(now)?.clone();
            let upstream = Arc::clone(&state.entry);
            Some(DueOrder { step, upstream })
        })
    }

    /// Returns the engines that load weights, or would with what is due.
    pub fn loading(&self, now: MonotonicInstant) -> impl Iterator<Item = &Arc<UpstreamEntry>> {
        let states = self.engines.values();
        let loading = states.filter(move |state| state.loads_weights(now));
        loading.map(|state| &state.entry)
    }

    /// Returns the number of engines that haven't acknowledged all that is wanted.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        let behind = |state: &&EngineState| state.next().is_some();
        self.engines.values().filter(behind).count()
    }

    /// Notes that an order goes out now.
    pub fn start(&mut self, upstream: &UpstreamName, step: &OrderStep, now: MonotonicInstant) {
        if let Some(state) = self.engines.get_mut(upstream) {
            state.in_flight = Some((step.clone(), now));
        }
    }

    /// Notes what became of the order in flight; returns whether the acknowledged orders changed.
    pub fn finish(
        &mut self,
        upstream: &UpstreamName,
        fence: u64,
        outcome: OrderOutcome,
        now: MonotonicInstant,
    ) -> bool {
        let Some(state) = self.engines.get_mut(upstream) else {
            return false;
        };
        let Some((step, sent)) = state.in_flight.take() else {
            return false;
        };
        match outcome {
            OrderOutcome::Accepted => {
                state.failures = 0;
                state.fence = fence;
                state.acknowledged.push(step);
                return true;
            }
            OrderOutcome::Unknown => {
                let over = sent + self.times.execution;
                state.unsettled = Some(UnsettledOrder { over, step });
                state.fail(now);
            }
            OrderOutcome::Fenced | OrderOutcome::NotSent | OrderOutcome::Refused => state.fail(now),
        }
        false
    }

    /// Forgets what an engine acknowledged, since it started anew.
    ///
    /// Returns whether anything was forgotten.
    pub fn restart(&mut self, upstream: &UpstreamName) -> bool {
        let Some(state) = self.engines.get_mut(upstream) else {
            return false;
        };
        state.failures = 0;
        state.retry = MonotonicInstant::default();
        let known = !state.acknowledged.is_empty();
        state.acknowledged.clear();
        known
    }

    /// Forgets orders without an answer whose time has passed, and engines without an entry.
    pub fn expire(&mut self, now: MonotonicInstant) {
        for state in self.engines.values_mut() {
            state.unsettled = state.unsettled.take().filter(|order| now < order.over);
        }
        let is_kept = |state: &EngineState| state.is_busy() || !state.wanted.is_empty();
        self.engines.retain(|_, state| is_kept(state));
    }

    /// Returns what the store is to keep for the next holder.
    #[must_use]
    pub fn record(&self, fence: u64) -> AcknowledgedRecord {
        let known = self.engines.iter();
        let known = known.filter(|(_, state)| !state.acknowledged.is_empty());
        let upstreams = known.map(|(name, state)| {
            let orders = AcknowledgedOrders {
                address: state.address,
                fence: state.fence,
                steps: state.acknowledged.clone(),
            };
            (name.clone(), orders)
        });
        AcknowledgedRecord {
            fence,
            upstreams: upstreams.collect(),
        }
    }
}
