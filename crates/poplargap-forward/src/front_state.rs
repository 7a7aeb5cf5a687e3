//! The state that all requests of a front proxy share.

use {
    crate::{
        body_budget::BodyBudget, close_signal::CloseSignal, connection_pool::ConnectionPool,
        crash_board::CrashBoard, front_metrics::FrontMetrics, front_settings::FrontSettings,
        process_clock::ProcessClock, waiting_rooms::WaitingRooms,
    },
    poplargap_core::{
        collections::HashMap,
        forward::{
            EvacuationView, LoopLag, PeerView, ReplicaEntry, ReplicaTracker, ReplicaView,
            RouteTable, ServiceBudget,
        },
    },
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicUsize},
    },
    tokio::sync::watch,
};

/// The shared state of a front proxy.
///
/// Locks are held only for a decision, never across an await.
#[derive(Debug)]
pub(crate) struct FrontState<D> {
    pub(crate) tracker: Mutex<ReplicaTracker>,
    pub(crate) bodies: Arc<BodyBudget>,
    pub(crate) budgets: Mutex<HashMap<Arc<str>, ServiceBudget>>,
    pub(crate) clock: ProcessClock,
    pub(crate) close: CloseSignal,
    pub(crate) connections: ConnectionPool,
    pub(crate) crashes: Arc<CrashBoard>,
    pub(crate) dialect: D,
    pub(crate) evacuations: watch::Receiver<Arc<EvacuationView>>,
    /// Number of requests that wait for the first routes.
    pub(crate) held: AtomicUsize,
    pub(crate) open_connections: AtomicUsize,
    /// How far the daemon's loop is behind.
    pub(crate) lag: Mutex<LoopLag>,
    pub(crate) log: Logger,
    pub(crate) metrics: FrontMetrics,
    pub(crate) peers: watch::Receiver<Arc<PeerView>>,
    pub(crate) replicas: watch::Receiver<Arc<ReplicaView>>,
    pub(crate) rooms: WaitingRooms,
    pub(crate) routes: watch::Receiver<Option<Arc<RouteTable>>>,
    pub(crate) settings: FrontSettings,
}

impl<D> FrontState<D> {
    pub(crate) fn tracker(&self) -> MutexGuard<'_, ReplicaTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `decide` on the retry budget of a service.
    pub(crate) fn with_budget<T>(
        &self,
        service: &Arc<str>,
        decide: impl FnOnce(&mut ServiceBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let share = &self.settings.retry;
        let budget = budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| ServiceBudget::new(share.ratio, share.window));
        decide(budget)
    }

    /// Returns how far the daemon's loop is behind.
    pub(crate) fn lag(&self) -> LoopLag {
        *self.lag.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the routes in force; `None` before the first successful read.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.borrow().clone()
    }
}

/// Guard that counts a request at a replica until it is dropped.
#[derive(Debug)]
pub(crate) struct PlacedCall<D> {
    pub(crate) replica: Arc<ReplicaEntry>,
    /// Address of the replica from which this one may fetch the prompt's prefix.
    pub(crate) prompt_source: Option<SocketAddr>,
    state: Arc<FrontState<D>>,
}

impl<D> PlacedCall<D> {
    pub(crate) fn new(
        state: &Arc<FrontState<D>>,
        replica: Arc<ReplicaEntry>,
        prompt_source: Option<SocketAddr>,
    ) -> Self {
        let now = state.clock.now();
        state.tracker().begin(&replica, now);
        Self {
            prompt_source,
            replica,
            state: Arc::clone(state),
        }
    }
}

impl<D> Drop for PlacedCall<D> {
    fn drop(&mut self) {
        self.state.tracker().end(&self.replica.id);
    }
}
