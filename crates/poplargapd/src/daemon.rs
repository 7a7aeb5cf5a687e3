//! One daemon: its listeners, tasks and actors, started and closed in order.

mod daemon_base;
mod daemon_listeners;
mod daemon_orders;
mod daemon_servers;

use {
    crate::{
        feed::{self, CatalogueFeed, FeedChannels, FeedInputs, PeerClients},
        home::{ChatTask, HomeActor, HomeInputs, HomeSettings, RefreshHomes, UpstreamClients},
        limits::{LimitActor, LimitInputs, LimitLink, RefreshLimits},
        members::{HeartbeatInputs, HeartbeatSettings, HeartbeatTask, MemberView, VmTask, VmView},
        metrics::DaemonMetrics,
        orders::OrderTask,
        path::{AdmitGate, ClaimStore, PathContext, RouteDirectory, TraceRing},
        relay::RelayClient,
    },
    daemon_base::{DaemonBase, DaemonStore, own_report, progress},
    daemon_listeners::DaemonListeners,
    daemon_orders::start_orders,
    daemon_servers::DaemonServers,
    displaydoc::Display,
    poplargap_core::{
        catalogue::CatalogueSnapshot, home::PolicyKind, instant::MonotonicInstant,
        membership::MemberState, settings::DaemonSettings,
    },
    poplargap_link::heartbeat::{PoolSummary, ShardReport},
    slog::Logger,
    std::{io, net::SocketAddr, num::NonZeroUsize, sync::Arc, time::Duration},
    tokio::{
        net::UdpSocket,
        sync::watch,
        task::JoinHandle,
        time::{self, MissedTickBehavior},
    },
    xtra::{Address, Mailbox},
};

/// Time for peers to hear that the daemon is leaving.
const LEAVE_PAUSE: Duration = Duration::from_millis(500);

/// Time between two looks at the loans of limits.
const LIMITS_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two looks at the requests in flight while closing.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A daemon that can't start.
#[derive(Debug, Display)]
pub enum StartError {
    /// the {listener} listener can't use {address}: {source}
    Bind {
        /// The address from settings.
        address: SocketAddr,
        /// The listener's name.
        listener: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// the HTTP library can't start: {0}
    Http(reqwest::Error),
    /// a metric can't be registered: {0}
    Metrics(prometheus::Error),
    /// the platform's clients can't start: {0}
    Platform(String),
}

impl std::error::Error for StartError {}

/// How closing went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CloseReport {
    /// Requests that were cut off.
    pub cut: usize,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<PathContext<DaemonStore>>,
    feed: CatalogueFeed,
    heartbeats: Arc<HeartbeatTask>,
    home: Address<HomeActor>,
    limit_refresher: JoinHandle<()>,
    log: Logger,
    orders: OrderTask,
    ready: JoinHandle<()>,
    refresher: JoinHandle<()>,
    servers: DaemonServers,
    settings: DaemonSettings,
    vms: VmTask,
}

impl Daemon {
    /// Starts a daemon; it is ready once it has a catalogue.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener's address is taken or a library can't start.
    pub async fn start(settings: DaemonSettings, log: Logger) -> Result<Self, StartError> {
        let listeners = DaemonListeners::bind(&settings).await?;
        let base = DaemonBase::new(&settings, log.clone())?;
        let proof = base.key.rpc_proof();
        let peers = PeerClients::new(proof.clone(), base.metrics.control.clone());
        let (vms, vm_view) = VmTask::start(
            base.vm_list.clone(),
            settings.daemon.data_centre.clone(),
            settings.vm_list.poll,
            log.clone(),
        );
        let (channels, catalogue, revision) = feed::channels();
        let (reports, shards) = watch::channel(Vec::new());
        let (pool_loads, pools) = watch::channel(Vec::new());
        let inputs = HeartbeatInputs {
            pools,
            revision: revision.clone(),
            shards,
            vms: vm_view.clone(),
        };
        let (heartbeats, members) =
            start_heartbeats(&settings, &base, listeners.heartbeats, inputs);
        let views = DaemonViews {
            catalogue: catalogue.snapshots(),
            confirmed: catalogue.confirmed(),
            members,
            vms: vm_view,
        };
        let feed = start_feed(&settings, &base, &views, peers.clone(), channels);
        let control = base.metrics.control.clone();
        let clients =
            UpstreamClients::new(progress(&settings), control).map_err(StartError::Http)?;
        let home = start_home(
            &settings,
            &base,
            &views,
            clients.clone(),
            (pool_loads, reports),
        );
        let refresher = tokio::spawn(refresh(
            home.clone(),
            views.clone(),
            settings.timeouts.heartbeat,
        ));
        let orders = start_orders(&settings, &base, &views)?;
        let ready = tokio::spawn(announce_ready(Arc::clone(&heartbeats), revision));

        let link = LimitLink::new(views.members.clone(), peers.clone(), views.vms.clone());
        let limits = start_limits(&settings, &base, &views, link.clone());
        let limit_refresher = tokio::spawn(refresh_limits(limits.clone()));
        let task = ChatTask {
            clients,
            clock: base.clock,
            home: home.clone(),
        };
        let relays =
            RelayClient::new(settings.timeouts.connect, proof.clone()).map_err(StartError::Http)?;
        let context = Arc::new(path_context(
            &settings,
            &base,
            &views,
            (peers, relays),
            limits,
            task,
        ));
        let servers = DaemonServers::start(
            &settings,
            &base,
            listeners.served,
            &context,
            catalogue,
            link,
        )?;
        slog::info!(log, "daemon started"; "daemon" => %settings.daemon.name, "callers" => %settings.daemon.callers);
        Ok(Self {
            context,
            feed,
            heartbeats,
            home,
            limit_refresher,
            log,
            orders,
            ready,
            refresher,
            servers,
            settings,
            vms,
        })
    }

    /// Returns the daemon's metrics.
    #[must_use]
    pub fn metrics(&self) -> &DaemonMetrics {
        &self.context.metrics
    }

    /// Closes the daemon without cutting off a request, if these end within the drain time.
    ///
    /// Readiness fails first; peers take over the homes; requests in flight end, those of callers
    /// and those that other daemons sent; then the listeners and tasks end.
    pub async fn close(self) -> CloseReport {
        self.ready.abort();
        slog::info!(self.log, "daemon is leaving");
        self.heartbeats.set_state(MemberState::Leaving).await;
        self.orders.close().await;
        time::sleep(LEAVE_PAUSE).await;
        self.context.admit.shut();
        let end = time::Instant::now() + self.settings.timeouts.drain;
        while is_busy(&self.context) && time::Instant::now() < end {
            time::sleep(DRAIN_POLL).await;
        }
        let cut = in_flight(&self.context);
        self.servers.close().await;
        self.refresher.abort();
        self.limit_refresher.abort();
        self.feed.close();
        self.vms.close();
        if let Some(heartbeats) = Arc::into_inner(self.heartbeats) {
            heartbeats.close();
        }
        drop(self.home);
        slog::info!(self.log, "daemon closed"; "cut" => cut);
        CloseReport { cut }
    }

    /// Returns a function that counts the requests that ending now would cut off.
    pub fn in_flight_gauge(&self) -> impl Fn() -> usize + use<> {
        let context = Arc::clone(&self.context);
        move || in_flight(&context)
    }
}

/// Returns whether requests are in flight or claims' outcomes have yet to be written.
fn is_busy(context: &PathContext<DaemonStore>) -> bool {
    in_flight(context) > 0 || context.claims.unsettled() > 0
}

/// Counts callers' requests here and other daemons' requests at this daemon's homes.
fn in_flight(context: &PathContext<DaemonStore>) -> usize {
    let homed = usize::try_from(context.metrics.homed_in_flight.get()).unwrap_or_default();
    context.admit.inside().max(homed)
}

fn home_settings(settings: &DaemonSettings) -> HomeSettings {
    HomeSettings {
        chats: NonZeroUsize::new(settings.placement.memory).unwrap_or(NonZeroUsize::MIN),
        data_centre: settings.daemon.data_centre.clone(),
        policy: settings.placement.policy,
        seed: rand::random(),
        suspect: settings.timeouts.suspect,
    }
}

/// What tasks read of each other.
#[derive(Clone, Debug)]
struct DaemonViews {
    catalogue: watch::Receiver<Arc<CatalogueSnapshot>>,
    confirmed: watch::Receiver<MonotonicInstant>,
    members: watch::Receiver<Arc<MemberView>>,
    vms: watch::Receiver<Arc<VmView>>,
}

fn start_heartbeats(
    settings: &DaemonSettings,
    base: &DaemonBase,
    socket: UdpSocket,
    inputs: HeartbeatInputs,
) -> (Arc<HeartbeatTask>, watch::Receiver<Arc<MemberView>>) {
    let heartbeat_settings = HeartbeatSettings {
        data_centre: settings.daemon.data_centre.clone(),
        interval: settings.timeouts.heartbeat,
        key: base.key.clone(),
        own: own_report(settings),
        seeds: settings.fleet.seeds.clone(),
        suspect: settings.timeouts.suspect,
    };
    let metrics = Arc::clone(&base.metrics);
    let (task, members) = HeartbeatTask::start(
        heartbeat_settings,
        socket,
        inputs,
        base.clock,
        metrics,
        base.log.clone(),
    );
    (Arc::new(task), members)
}

fn start_feed(
    settings: &DaemonSettings,
    base: &DaemonBase,
    views: &DaemonViews,
    peers: PeerClients,
    channels: FeedChannels,
) -> CatalogueFeed {
    let inputs = FeedInputs {
        clock: base.clock,
        data_centre: settings.daemon.data_centre.clone(),
        invariants: base.invariants.clone(),
        log: base.log.clone(),
        members: views.members.clone(),
        metrics: Arc::clone(&base.metrics),
        peers,
        vms: views.vms.clone(),
    };
    CatalogueFeed::start(base.store.clone(), inputs, channels)
}

fn start_home(
    settings: &DaemonSettings,
    base: &DaemonBase,
    views: &DaemonViews,
    clients: UpstreamClients,
    (pools, reports): (
        watch::Sender<Vec<PoolSummary>>,
        watch::Sender<Vec<ShardReport>>,
    ),
) -> Address<HomeActor> {
    let inputs = HomeInputs {
        catalogue: views.catalogue.clone(),
        clients,
        clock: base.clock,
        confirmed: views.confirmed.clone(),
        invariants: base.invariants.clone(),
        log: base.log.clone(),
        members: views.members.clone(),
        metrics: Arc::clone(&base.metrics),
        pools,
        reports,
        vms: views.vms.clone(),
    };
    xtra::spawn_tokio(
        HomeActor::new(home_settings(settings), inputs),
        Mailbox::unbounded(),
    )
}

fn start_limits(
    settings: &DaemonSettings,
    base: &DaemonBase,
    views: &DaemonViews,
    link: LimitLink,
) -> Address<LimitActor> {
    let inputs = LimitInputs {
        catalogue: views.catalogue.clone(),
        clock: base.clock,
        daemon: settings.daemon.name.clone(),
        data_centre: settings.daemon.data_centre.clone(),
        incarnation: views.members.borrow().own.incarnation,
        link,
        suspect: settings.timeouts.suspect,
    };
    xtra::spawn_tokio(LimitActor::new(inputs), Mailbox::unbounded())
}

fn path_context(
    settings: &DaemonSettings,
    base: &DaemonBase,
    views: &DaemonViews,
    (peers, relays): (PeerClients, RelayClient),
    limits: Address<LimitActor>,
    task: ChatTask,
) -> PathContext<DaemonStore> {
    PathContext {
        admit: AdmitGate::new(settings.limits.callers_max),
        body_deadline: settings.limits.body_deadline,
        body_max: settings.limits.body_max.bytes(),
        catalogue: views.catalogue.clone(),
        claims: ClaimStore::new(settings.daemon.name.clone(), base.store.clone()),
        clock: base.clock,
        data_centre: settings.daemon.data_centre.clone(),
        homed: settings.placement.policy == PolicyKind::Homed,
        invariants: base.invariants.clone(),
        limits,
        members: views.members.clone(),
        metrics: Arc::clone(&base.metrics),
        peers,
        relays,
        routes: RouteDirectory::default(),
        task,
        traces: TraceRing::default(),
        vms: views.vms.clone(),
        write: settings.timeouts.write,
    }
}

/// Makes the home actor look at every change of its inputs, and at its queues from time to time.
async fn refresh(home: Address<HomeActor>, mut views: DaemonViews, interval: Duration) {
    let mut ticks = time::interval(interval / 2);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let changed = tokio::select! {
            _ = ticks.tick() => Ok(()),
            changed = views.catalogue.changed() => changed,
            changed = views.confirmed.changed() => changed,
            changed = views.members.changed() => changed,
            changed = views.vms.changed() => changed,
        };
        if changed.is_err() || home.send(RefreshHomes).await.is_err() {
            return;
        }
    }
}

/// Makes the limit actor look at its loans from time to time.
async fn refresh_limits(limits: Address<LimitActor>) {
    let mut ticks = time::interval(LIMITS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if limits.send(RefreshLimits).await.is_err() {
            return;
        }
    }
}

/// Declares the daemon ready once it has a catalogue.
async fn announce_ready(heartbeats: Arc<HeartbeatTask>, mut revision: watch::Receiver<u64>) {
    if revision.wait_for(|revision| *revision > 0).await.is_ok() {
        heartbeats.set_state(MemberState::Ready).await;
    }
}
