//! Wanted and acknowledged orders of a data centre's engines.

use {
    super::{AcknowledgedOrders, AcknowledgedRecord, OrderStep, OrderTimes, ordered_steps},
    crate::{catalogue::UpstreamEntry, instant::MonotonicInstant, name::UpstreamName},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    strum::IntoStaticStr,
};

/// Retry delay after the first failure of an order; each further failure doubles it.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest delay between two attempts of an order.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(30);

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderOutcome {
    /// The engine carried the order out.
    Accepted,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The order didn't reach the engine.
    NotSent,
    /// The engine refused the order for another reason.
    Refused,
    /// No answer arrived: the engine may have carried out the order, or may still do so.
    Unknown,
}

/// An order that can be sent now.
#[derive(Clone, Debug)]
pub struct DueOrder {
    /// The order to send.
    pub step: OrderStep,
    /// The engine that gets the order.
    pub upstream: Arc<UpstreamEntry>,
}

/// An order without an answer, which may be carried out until it expires.
#[derive(Clone, Debug)]
struct UnansweredOrder {
    expires: MonotonicInstant,
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
    retry_at: MonotonicInstant,
    unanswered: Option<UnansweredOrder>,
    wanted: Vec<OrderStep>,
}

impl EngineState {
    fn new(entry: Arc<UpstreamEntry>, acknowledged: Option<&AcknowledgedOrders>) -> Self {
        let valid = acknowledged.filter(|orders| orders.address == entry.address);
        Self {
            acknowledged: valid.map(|orders| orders.steps.clone()).unwrap_or_default(),
            address: entry.address,
            failures: 0,
            fence: valid.map(|orders| orders.fence).unwrap_or_default(),
            in_flight: None,
            retry_at: MonotonicInstant::default(),
            unanswered: None,
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
            self.retry_at = MonotonicInstant::default();
            self.wanted = wanted;
        }
        self.entry = Arc::clone(entry);
    }

    /// Returns how many wanted orders are acknowledged, up to the first that isn't.
    ///
    /// Later orders build on earlier ones.
    fn acknowledged_count(&self) -> usize {
        let pairs = self.wanted.iter().zip(&self.acknowledged);
        pairs
            .take_while(|(wanted, acknowledged)| wanted == acknowledged)
            .count()
    }

    fn next(&self) -> Option<&OrderStep> {
        self.wanted.get(self.acknowledged_count())
    }

    /// Returns whether the next order replaces an order that the engine acknowledged.
    fn replaces(&self) -> bool {
        self.next().is_some() && self.acknowledged.len() > self.acknowledged_count()
    }

    fn due(&self, now: MonotonicInstant) -> Option<&OrderStep> {
        let step = self.next()?;
        if self.in_flight.is_some() || self.replaces() || now < self.retry_at {
            return None;
        }
        let blocked = self
            .unanswered
            .as_ref()
            .is_some_and(|unanswered| unanswered.step != *step && now < unanswered.expires);
        (!blocked).then_some(step)
    }

    fn is_busy(&self) -> bool {
        self.in_flight.is_some() || self.unanswered.is_some()
    }

    /// Returns whether an order in flight, unanswered or due makes the engine load weights.
    fn loads_weights(&self, now: MonotonicInstant) -> bool {
        let in_flight = self.in_flight.iter().map(|(step, _)| step);
        let unanswered = self.unanswered.iter().map(|unanswered| &unanswered.step);
        let mut steps = in_flight.chain(unanswered).chain(self.due(now));
        steps.any(|step| step.order.loads_weights())
    }

    fn fail(&mut self, now: MonotonicInstant) {
        let delay = RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(16));
        self.retry_at = now + delay.min(RETRY_DELAY_MAX);
        self.failures = self.failures.saturating_add(1);
    }
}

/// Orders that a lease holder wants of its engines, and those that the engines acknowledged.
#[derive(Clone, Debug)]
pub struct OrderBook {
    engines: BTreeMap<UpstreamName, EngineState>,
    stored: AcknowledgedRecord,
    times: OrderTimes,
}

impl OrderBook {
    /// Creates a book from the record that earlier holders stored.
    #[must_use]
    pub fn new(stored: AcknowledgedRecord, times: OrderTimes) -> Self {
        Self {
            engines: BTreeMap::new(),
            stored,
            times,
        }
    }

    /// Applies the current catalogue entries.
    ///
    /// Engines without an entry are removed once no order to them can still be carried out.
    /// Returns whether any was removed.
    pub fn update<'a>(
        &mut self,
        entries: impl IntoIterator<Item = &'a Arc<UpstreamEntry>>,
    ) -> bool {
        let mut previous = std::mem::take(&mut self.engines);
        for entry in entries {
            let state = if let Some(mut state) = previous.remove(&entry.name) {
                state.update(entry);
                state
            } else {
                let stored = self.stored.upstreams.remove(&entry.name);
                EngineState::new(Arc::clone(entry), stored.as_ref())
            };
            self.engines.insert(entry.name.clone(), state);
        }
        let mut removed = false;
        for (name, mut state) in previous {
            if state.is_busy() {
                state.wanted.clear();
                self.engines.insert(name, state);
            } else {
                removed = true;
            }
        }
        removed
    }

    /// Returns whether the book has no engines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Removes acknowledged orders that wanted ones replace; returns whether there were any.
    ///
    /// The new record must be stored before the next order is sent. Otherwise, after an edit that
    /// is reverted, a later holder would assume that the engine is still in its earlier state.
    pub fn remove_replaced(&mut self) -> bool {
        let mut removed = false;
        for state in self.engines.values_mut() {
            if state.in_flight.is_none() && state.replaces() {
                state.acknowledged.truncate(state.acknowledged_count());
                removed = true;
            }
        }
        removed
    }

    /// Returns the orders that can be sent now, at most one for each engine.
    pub fn due(&self, now: MonotonicInstant) -> impl Iterator<Item = DueOrder> {
        self.engines.values().filter_map(move |state| {
            let step = state.due(now)?.clone();
            let upstream = Arc::clone(&state.entry);
            Some(DueOrder { step, upstream })
        })
    }

    /// Returns the engines that load weights, or would with the order that is due.
    pub fn loading(&self, now: MonotonicInstant) -> impl Iterator<Item = &Arc<UpstreamEntry>> {
        let states = self.engines.values();
        let loading = states.filter(move |state| state.loads_weights(now));
        loading.map(|state| &state.entry)
    }

    /// Returns the number of engines that haven't acknowledged all wanted orders.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        let behind = |state: &&EngineState| state.next().is_some();
        self.engines.values().filter(behind).count()
    }

    /// Records that an order is sent now.
    pub fn start(&mut self, upstream: &UpstreamName, step: &OrderStep, now: MonotonicInstant) {
        if let Some(state) = self.engines.get_mut(upstream) {
            state.in_flight = Some((step.clone(), now));
        }
    }

    /// Records the outcome of the order in flight; returns whether acknowledged orders changed.
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
                let expires = sent + self.times.execution;
                state.unanswered = Some(UnansweredOrder { expires, step });
                state.fail(now);
            }
            OrderOutcome::Fenced | OrderOutcome::NotSent | OrderOutcome::Refused => state.fail(now),
        }
        false
    }

    /// Removes the acknowledged orders of an engine that restarted.
    ///
    /// Returns whether there were any.
    pub fn restart(&mut self, upstream: &UpstreamName) -> bool {
        let Some(state) = self.engines.get_mut(upstream) else {
            return false;
        };
        state.failures = 0;
        state.retry_at = MonotonicInstant::default();
        let had_orders = !state.acknowledged.is_empty();
        state.acknowledged.clear();
        had_orders
    }

    /// Removes expired orders without an answer, and idle engines without an entry.
    pub fn expire(&mut self, now: MonotonicInstant) {
        for state in self.engines.values_mut() {
            state.unanswered = state.unanswered.take().filter(|order| now < order.expires);
        }
        let is_kept = |state: &EngineState| state.is_busy() || !state.wanted.is_empty();
        self.engines.retain(|_, state| is_kept(state));
    }

    /// Returns the record to store for the next holder.
    #[must_use]
    pub fn record(&self, fence: u64) -> AcknowledgedRecord {
        let engines = self.engines.iter();
        let engines = engines.filter(|(_, state)| !state.acknowledged.is_empty());
        let upstreams = engines.map(|(name, state)| {
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
