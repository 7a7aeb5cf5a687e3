//! Starts and shuts down a front proxy.

use {
    crate::{
        FeedDialect, FrontSettings, ProcessClock, WireDialect,
        accept::accept,
        close_signal::CloseSignal,
        connection_pool::ConnectionPool,
        crash_board::CrashBoard,
        crash_reporter::{CrashReporter, report_crashes},
        feed::{
            ChangeServer, ChangeShare, FeedContext, FeedSharing, FeedViews, follow_store,
            serve_changes,
        },
        front_metrics::FrontMetrics,
        front_state::FrontState,
        peers::{PeerSocket, announce, exchange_loads},
        status_server::{serve_metrics, serve_ready},
        waiting_rooms::WaitingRooms,
    },
    displaydoc::Display,
    poplargap_core::{
        collections::{HashMap, HashSet},
        forward::{
            ClosePhase, ClosePlan, LoopLag, PeerEntry, PeerView, ReplicaTracker, ReplicaView,
        },
    },
    poplargap_store::KeyValueStore,
    slog::{Logger, info},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Pause between two checks of the shutdown's progress.
const CLOSE_STEP: Duration = Duration::from_millis(50);

/// Pause between two removals of expired connections and unknown replicas.
const SWEEP_PAUSE: Duration = Duration::from_secs(2);

/// Lag from which on a daemon is logged as behind.
const LAG_LOGGED: Duration = Duration::from_millis(300);

/// Why a front proxy can't start.
#[derive(Debug, Display)]
pub enum FrontError {
    /// can't listen on the address {0}: {1}
    Listen(SocketAddr, io::Error),
    /// the metrics can't be set up: {0}
    Metrics(prometheus::Error),
}

impl std::error::Error for FrontError {}

/// A running front proxy.
#[derive(Debug)]
pub struct FrontProxy<D> {
    state: Arc<FrontState<D>>,
    tasks: JoinSet<()>,
}

impl<D: WireDialect + FeedDialect> FrontProxy<D> {
    /// Starts a front proxy that reads its routes and replicas from `store`.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be opened or the metrics can't be set up.
    pub async fn start<S: KeyValueStore>(
        settings: FrontSettings,
        dialect: D,
        store: S,
        log: Logger,
    ) -> Result<Self, FrontError> {
        let callers = listen(settings.callers).await?;
        let metrics_listener = listen(settings.metrics).await?;
        let ready = listen(settings.ready).await?;
        let peer_sockets = open_peers(settings.peers).await?;
        let metrics = FrontMetrics::new().map_err(FrontError::Metrics)?;
        let clock = ProcessClock::start();
        let (crashes, reports) = CrashBoard::new(clock, metrics.clone(), log.clone());
        let crashes = Arc::new(crashes);
        let (routes_sender, routes) = watch::channel(None);
        let (replicas_sender, replicas) = watch::channel(Arc::new(ReplicaView::default()));
        let (peers_sender, peers) = watch::channel(Arc::new(PeerView::default()));
        let (evacuations_sender, evacuations) = watch::channel(Arc::default());
        let views = FeedViews {
            crashes: Arc::clone(&crashes),
            evacuations: evacuations_sender,
            peers: peers_sender,
            replicas: replicas_sender,
            routes: routes_sender,
        };
        let feed = FeedContext {
            clock,
            dialect: dialect.clone(),
            log: log.clone(),
            metrics: metrics.clone(),
            settings: settings.feed,
            store,
        };
        let state = Arc::new(FrontState {
            tracker: Mutex::new(ReplicaTracker::default()),
            bodies: Arc::default(),
            budgets: Mutex::new(HashMap::default()),
            clock,
            close: CloseSignal::new(),
            connections: ConnectionPool::new(clock, log.clone()),
            crashes: Arc::clone(&crashes),
            dialect,
            evacuations,
            held: 0.into(),
            open_connections: 0.into(),
            lag: Mutex::default(),
            log: log.clone(),
            metrics,
            peers: peers.clone(),
            replicas,
            rooms: WaitingRooms::default(),
            routes,
            settings,
        });
        let mut tasks = JoinSet::new();
        let mut sharing = None;
        if let Some(PeerSockets {
            address,
            changes,
            datagrams,
        }) = peer_sockets
        {
            let share = Arc::new(ChangeShare::new(clock));
            sharing = Some(FeedSharing {
                data_centre: state.settings.data_centre.clone(),
                own: address,
                peers: peers.clone(),
                share: Arc::clone(&share),
            });
            let server = ChangeServer {
                age_max: state.settings.feed.shared.age_max,
                log: log.clone(),
                peers: peers.clone(),
                share,
            };
            tasks.spawn(serve_changes(server, changes));
            let data_centre = state.settings.data_centre.as_str().into();
            let entry = PeerEntry {
                address,
                data_centre,
            };
            tasks.spawn(announce(feed.store.clone(), entry, log.clone()));
            tasks.spawn(exchange_loads(Arc::clone(&state), datagrams, peers));
        }
        tasks.spawn(report_crashes(CrashReporter {
            board: crashes,
            log: log.clone(),
            metrics: state.metrics.clone(),
            own: state.settings.peers,
            peers: state.peers.clone(),
            reports,
            store: feed.store.clone(),
        }));
        let evacuation = state.settings.places.evacuation;
        tasks.spawn(follow_store(feed, views, evacuation, sharing));
        tasks.spawn(serve_ready(Arc::clone(&state), ready));
        tasks.spawn(serve_metrics(Arc::clone(&state), metrics_listener));
        tasks.spawn(accept(Arc::clone(&state), callers));
        tasks.spawn(measure_lag(Arc::clone(&state)));
        tasks.spawn(sweep(Arc::clone(&state)));
        let addresses = &state.settings;
        info!(log, "front proxy started"; "version" => env!("CARGO_PKG_VERSION"),
            "callers" => %addresses.callers, "data-centre" => &addresses.data_centre);
        Ok(Self { state, tasks })
    }

    /// Shuts down gracefully within the platform's grace period.
    ///
    /// Returns the number of connections that were still open at the end.
    pub async fn close(mut self) -> usize {
        let began = Instant::now();
        let plan = ClosePlan::new(self.state.settings.grace);
        info!(self.state.log, "front proxy shuts down";
            "connections" => self.state.open_connections.load(Ordering::Relaxed));
        loop {
            let open = self.state.open_connections.load(Ordering::Relaxed);
            let phase = plan.phase(began.elapsed(), open);
            self.state.close.enter(phase);
            if phase == ClosePhase::Ended {
                info!(self.state.log, "front proxy stopped"; "cut-off" => open,
                    "took-ms" => crate::call_log::millis(began.elapsed()));
                self.tasks.abort_all();
                return open;
            }
            sleep(CLOSE_STEP).await;
        }
    }
}

/// The sockets at one address for messages of other daemons.
#[derive(Debug)]
struct PeerSockets {
    address: SocketAddr,
    changes: TcpListener,
    datagrams: PeerSocket,
}

/// Opens the sockets for messages of other daemons if an address is set.
async fn open_peers(address: Option<SocketAddr>) -> Result<Option<PeerSockets>, FrontError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let datagrams = PeerSocket::open(address);
    Ok(Some(PeerSockets {
        address,
        changes: listen(address).await?,
        datagrams: datagrams.map_err(|error| FrontError::Listen(address, error))?,
    }))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, FrontError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| FrontError::Listen(address, error))
}

/// Measures how late the daemon's own timer fires.
async fn measure_lag<D>(state: Arc<FrontState<D>>) {
    let mut was_behind = false;
    loop {
        let due = Instant::now() + LoopLag::PAUSE;
        sleep_until(due).await;
        let delay = due.elapsed();
        let now = state.clock.now();
        let lag = {
            let mut lag = state.lag.lock().unwrap_or_else(PoisonError::into_inner);
            lag.record(delay, now);
            lag.current(now)
        };
        let is_behind = lag > LAG_LOGGED;
        if is_behind != was_behind {
            was_behind = is_behind;
            info!(state.log, "lag of the daemon changed"; "behind" => is_behind,
                "lag-ms" => crate::call_log::millis(lag));
        }
    }
}

/// Periodically drops the connections and the state of unregistered replicas.
async fn sweep<D: WireDialect>(state: Arc<FrontState<D>>) {
    loop {
        sleep(SWEEP_PAUSE).await;
        let view = Arc::clone(&state.replicas.borrow());
        let known: HashSet<&str> = view.all().map(|replica| replica.id.as_ref()).collect();
        state.connections.sweep(|id| known.contains(id));
        let now = state.clock.now();
        state.crashes.expire();
        state.tracker().retain(|id| known.contains(id), now);
    }
}
