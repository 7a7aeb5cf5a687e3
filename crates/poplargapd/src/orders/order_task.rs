//! The task that acquires the lease for orders and gives them.

use {
    super::{
        OrderMetrics,
        acknowledged_store::{AcknowledgedStore, RecordWrite},
        held_lease::HeldLease,
        lease_store::{AcquireOutcome, LeaseStore},
        load_gate::{GateContext, LoadGate},
        order_client::{OrderClient, SendGate},
    },
    crate::{clock::ProcessClock, members::MemberView},
    poplargap_core::{
        catalogue::{CatalogueSnapshot, UpstreamEntry},
        instant::MonotonicInstant,
        membership::MemberState,
        name::DataCentre,
        order::{DueOrder, LeaseHolder, LeasePhase, OrderTimes, SendPermit, ordered_steps},
    },
    poplargap_store::{KeyValueStore, StoreError},
    slog::Logger,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        task::JoinHandle,
        time::{self, MissedTickBehavior},
    },
};

/// Number of ready daemons of a data centre, the first by name, that try to acquire the lease.
const CANDIDATES_MAX: usize = 2;

/// Most orders of one holder in flight.
const ORDERS_IN_FLIGHT_MAX: usize = 16;

/// Time between two steps of the task.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a call to the store that failed.
const STORE_PAUSE: Duration = Duration::from_secs(1);

/// Longest wait for the task's last calls to the store on closing.
const CLOSE_MAX: Duration = Duration::from_secs(2);

/// Inputs of the order task.
#[derive(Debug)]
pub struct OrderInputs {
    /// The catalogue in force.
    pub catalogue: watch::Receiver<Arc<CatalogueSnapshot>>,
    /// Longest wait for a connection to an engine.
    pub connect: Duration,
    /// The own data centre.
    pub data_centre: DataCentre,
    /// The daemon's log.
    pub log: Logger,
    /// Members of the own data centre.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// Metrics of orders.
    pub metrics: OrderMetrics,
    /// Times of leases and orders.
    pub times: OrderTimes,
}

/// The running order task.
#[derive(Debug)]
pub struct OrderTask {
    closing: oneshot::Sender<()>,
    handle: JoinHandle<()>,
}

impl OrderTask {
    /// Starts a task that gives orders while this daemon holds the lease.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP library can't start.
    pub(crate) fn start<S: KeyValueStore>(
        store: S,
        clock: ProcessClock,
        inputs: OrderInputs,
    ) -> Result<Self, reqwest::Error> {
        let client = OrderClient::new(inputs.connect, inputs.times.execution)?;
        let (closing, closed) = oneshot::channel();
        let state = OrderState::new(store, clock, client, inputs);
        let handle = tokio::spawn(state.run(closed));
        Ok(Self { closing, handle })
    }

    /// Stops giving orders and releases the lease.
    pub async fn close(self) {
        drop(self.closing);
        let abort = self.handle.abort_handle();
        if time::timeout(CLOSE_MAX, self.handle).await.is_err() {
            abort.abort();
        }
    }
}

struct OrderState<S> {
    acknowledged: AcknowledgedStore<S>,
    client: OrderClient,
    clock: ProcessClock,
    gate: LoadGate<S>,
    held: Option<HeldLease>,
    holder: LeaseHolder,
    inputs: OrderInputs,
    lease: LeaseStore<S>,
    next_acquire: MonotonicInstant,
    permits: watch::Sender<Option<SendPermit>>,
}

impl<S: KeyValueStore> OrderState<S> {
    fn new(store: S, clock: ProcessClock, client: OrderClient, inputs: OrderInputs) -> Self {
        let name = inputs.members.borrow().own.name.clone();
        let times = inputs.times;
        let data_centre = &inputs.data_centre;
        Self {
            acknowledged: AcknowledgedStore::new(store.clone(), data_centre),
            client,
            clock,
            gate: LoadGate::new(store.clone()),
            held: None,
            holder: LeaseHolder::new(times),
            lease: LeaseStore::new(store, clock, name, data_centre, times.lease),
            inputs,
            next_acquire: MonotonicInstant::default(),
            permits: watch::Sender::new(None),
        }
    }

    async fn run(mut self, mut closed: oneshot::Receiver<()>) {
        let mut ticks = time::interval(STEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut closed => break,
                _ = ticks.tick() => {}
            }
            self.step().await;
        }
        self.release_lease("the daemon closes").await;
    }

    async fn step(&mut self) {
        if let Some(held) = &mut self.held {
            held.process_results(&self.inputs, self.clock.now());
        }
        let snapshot = Arc::clone(&self.inputs.catalogue.borrow());
        let entries = self.entries(&snapshot);
        if entries.is_empty() && self.held.is_none() {
            return;
        }
        if self.holder.phase(self.clock.now()) == LeasePhase::NotHeld {
            self.lose_lease("it has expired");
            if !entries.is_empty() {
                self.try_acquire().await;
            }
            return;
        }
        if self.holder.renewal_due(self.clock.now()) {
            self.renew().await;
        }
        let Some(held) = &mut self.held else {
            return;
        };
        held.update(&snapshot, &entries);
        held.book.expire(self.clock.now());
        if held.book.is_empty() {
            self.release_lease("no upstream entry requires orders")
                .await;
            return;
        }
        if self.store_record().await {
            self.sync_loads(&snapshot).await;
            self.dispatch(&snapshot);
        }
        self.update_outstanding();
    }

    /// Returns the upstream entries of the own data centre that require orders.
    fn entries(&self, snapshot: &CatalogueSnapshot) -> Vec<Arc<UpstreamEntry>> {
        let own = snapshot.upstreams.values();
        own.filter(|entry| entry.data_centre == self.inputs.data_centre)
            .filter(|entry| !ordered_steps(entry).is_empty())
            .cloned()
            .collect()
    }

    fn is_candidate(&self) -> bool {
        let members = self.inputs.members.borrow();
        let ready = members.ready.iter();
        let lower = ready.filter(|member| member.name < members.own.name);
        members.own.state == MemberState::Ready && lower.count() < CANDIDATES_MAX
    }

    async fn try_acquire(&mut self) {
        if self.clock.now() < self.next_acquire || !self.is_candidate() {
            return;
        }
        let pause = match self.lease.acquire().await {
            Ok(AcquireOutcome::Acquired { fence, sent }) => {
                self.start_lease(fence, sent).await;
                STORE_PAUSE
            }
            Ok(AcquireOutcome::Taken) => self.inputs.times.renewal(),
            Err(_) => STORE_PAUSE,
        };
        self.next_acquire = self.clock.now() + pause;
    }

    async fn start_lease(&mut self, fence: u64, sent: MonotonicInstant) {
        let acquired = self.clock.now();
        let Ok(stored) = self.acknowledged.read().await else {
            self.lease.release().await;
            return;
        };
        self.holder.acquire(fence, sent, acquired);
        self.permits
            .send_replace(self.holder.lease_permit(self.clock.now()));
        self.gate.reset();
        self.held = Some(HeldLease::new(stored, fence, self.inputs.times));
        self.inputs.metrics.lease_held.set(1);
        slog::info!(self.inputs.log, "lease for orders acquired"; "fence" => fence);
    }

    async fn renew(&mut self) {
        match self.lease.renew().await {
            Ok(sent) => self.holder.renew(sent, self.clock.now()),
            Err(StoreError::NoLease) => {
                self.lose_lease("the store has ended it");
                return;
            }
            Err(_) => self.holder.retry_renewal(self.clock.now(), STORE_PAUSE),
        }
        self.permits
            .send_replace(self.holder.lease_permit(self.clock.now()));
    }

    fn lose_lease(&mut self, reason: &str) {
        if self.end_lease() {
            slog::warn!(self.inputs.log, "lease for orders lost"; "reason" => reason);
        }
    }

    /// Ends the held lease; orders in flight complete on their own. Returns whether one was held.
    fn end_lease(&mut self) -> bool {
        self.permits.send_replace(None);
        self.holder.release();
        let Some(mut held) = self.held.take() else {
            return false;
        };
        held.running.detach_all();
        self.inputs.metrics.lease_held.set(0);
        self.inputs.metrics.loads_waiting.set(0);
        self.inputs.metrics.outstanding.set(0);
        true
    }

    async fn release_lease(&mut self, reason: &str) {
        if let Some(held) = &mut self.held {
            held.process_results(&self.inputs, self.clock.now());
            held.next_store = MonotonicInstant::default();
            held.retry_store = MonotonicInstant::default();
        }
        if self.holder.phase(self.clock.now()) != LeasePhase::NotHeld {
            let _stored = self.store_record().await;
        }
        if self.end_lease() {
            slog::info!(self.inputs.log, "lease for orders released"; "reason" => reason);
        }
        self.lease.release().await;
    }

    /// Writes the record of acknowledged orders if due; returns whether orders may be given.
    async fn store_record(&mut self) -> bool {
        let Some(held) = &mut self.held else {
            return false;
        };
        held.must_store |= held.book.remove_replaced();
        let now = self.clock.now();
        let earliest = if held.must_store {
            held.retry_store
        } else {
            held.next_store
        };
        if !(held.must_store || held.unstored) || now < earliest {
            return !held.must_store;
        }
        held.next_store = now + STORE_PAUSE;
        let record = held.book.record(held.fence);
        match self.acknowledged.write(&record).await {
            RecordWrite::Fenced => {
                self.lose_lease("a newer holder has written");
                false
            }
            RecordWrite::Unconfirmed => {
                held.retry_store = now + STORE_PAUSE;
                !held.must_store
            }
            RecordWrite::Written => {
                held.must_store = false;
                held.unstored = false;
                true
            }
        }
    }

    async fn sync_loads(&mut self, snapshot: &CatalogueSnapshot) {
        let now = self.clock.now();
        let former_orders_ended = self.holder.phase(now) == LeasePhase::FormerOrdersOver;
        let Some(held) = &self.held else {
            return;
        };
        let mut waiting = 0;
        for pool in snapshot.pools.values() {
            let Some(limit) = pool.loads_at_once else {
                continue;
            };
            let loading = held.book.loading(now);
            let loading: Vec<_> = loading
                .filter(|entry| entry.pool == pool.name)
                .cloned()
                .collect();
            let context = GateContext {
                data_centre: &self.inputs.data_centre,
                fence: held.fence,
                former_orders_ended,
                now,
                snapshot,
            };
            self.gate.sync(&pool.name, limit, &loading, context).await;
            let allowed = |entry: &&Arc<UpstreamEntry>| self.gate.allows(&pool.name, &entry.name);
            waiting += loading.len() - loading.iter().filter(allowed).count();
        }
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        self.inputs.metrics.loads_waiting.set(waiting);
    }

    fn dispatch(&mut self, snapshot: &CatalogueSnapshot) {
        let Some(held) = &mut self.held else {
            return;
        };
        let due: Vec<DueOrder> = held.book.due(self.clock.now()).collect();
        for order in due {
            if held.running.len() >= ORDERS_IN_FLIGHT_MAX {
                return;
            }
            let upstream = &order.upstream;
            let limited = snapshot
                .pools
                .get(&upstream.pool)
                .is_some_and(|pool| pool.loads_at_once.is_some());
            let needs_ticket = limited && order.step.order.loads_weights();
            if needs_ticket && !self.gate.allows(&upstream.pool, &upstream.name) {
                continue;
            }
            let Some(permit) = self.holder.permit(upstream.fencing, self.clock.now()) else {
                continue;
            };
            let gate = SendGate {
                clock: self.clock,
                fence: permit.fence,
                permits: self.permits.subscribe(),
            };
            held.send(order, self.client.clone(), gate);
        }
    }

    fn update_outstanding(&self) {
        if let Some(held) = &self.held {
            let outstanding = i64::try_from(held.book.outstanding()).unwrap_or(i64::MAX);
            self.inputs.metrics.outstanding.set(outstanding);
        }
    }
}
