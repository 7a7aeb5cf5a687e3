//! A daemon: starts its listeners, tasks and actors, and closes them in order.

mod daemon_base;
mod daemon_listeners;
mod daemon_orders;
mod daemon_servers;
mod daemon_tasks;

use {
    crate::{
        feed::{self, CatalogueFeed, PeerClients},
        limits::LoanClient,
        members::{HeartbeatInputs, HeartbeatTask, VmTask},
        metrics::DaemonMetrics,
        orders::OrderTask,
        pipeline::RequestContext,
        relay::RelayClient,
        shards::{ChatTask, ShardActor, UpstreamClients},
    },
    daemon_base::{DaemonBase, DaemonStore, progress_limits},
    daemon_listeners::DaemonListeners,
    daemon_orders::start_orders,
    daemon_servers::DaemonServers,
    daemon_tasks::{
        DaemonViews, announce_ready, refresh_limits, refresh_shards, request_context, start_feed,
        start_heartbeats, start_limits, start_shards,
    },
    displaydoc::Display,
    poplargap_core::{membership::MemberState, settings::DaemonSettings},
    slog::Logger,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, task::JoinHandle, time},
    xtra::Address,
};

/// Time for peers to receive the announcement that the daemon is leaving.
const LEAVE_PAUSE: Duration = Duration::from_millis(500);

/// Time between two checks for requests in flight while closing.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a daemon can't start.
#[derive(Debug, Display)]
pub enum StartError {
    /// the {listener} listener can't use {address}: {source}
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The listener's name.
        listener: &'static str,
        /// The operating system's error.
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

/// Result of closing a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CloseReport {
    /// Requests in flight that were aborted.
    pub aborted_requests: usize,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<RequestContext<DaemonStore>>,
    feed: CatalogueFeed,
    heartbeats: Arc<HeartbeatTask>,
    shards: Address<ShardActor>,
    limit_refresher: JoinHandle<()>,
    log: Logger,
    orders: OrderTask,
    ready: JoinHandle<()>,
    shard_refresher: JoinHandle<()>,
    servers: DaemonServers,
    settings: DaemonSettings,
    vms: VmTask,
}

impl Daemon {
    /// Starts a daemon; it is ready once it has a catalogue.
    ///
    /// # Errors
    ///
    /// Returns an error when a listener can't be bound or a library can't be set up.
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
            UpstreamClients::new(progress_limits(&settings), control).map_err(StartError::Http)?;
        let shards = start_shards(
            &settings,
            &base,
            &views,
            clients.clone(),
            (pool_loads, reports),
        );
        let shard_refresher = tokio::spawn(refresh_shards(
            shards.clone(),
            views.clone(),
            settings.timeouts.heartbeat,
        ));
        let orders = start_orders(&settings, &base, &views)?;
        let ready = tokio::spawn(announce_ready(Arc::clone(&heartbeats), revision));

        let loan_client = LoanClient::new(views.members.clone(), peers.clone(), views.vms.clone());
        let limits = start_limits(&settings, &base, &views, loan_client.clone());
        let limit_refresher = tokio::spawn(refresh_limits(limits.clone()));
        let task = ChatTask {
            clients,
            clock: base.clock,
            shards: shards.clone(),
        };
        let relays =
            RelayClient::new(settings.timeouts.connect, proof.clone()).map_err(StartError::Http)?;
        let context = Arc::new(request_context(
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
            loan_client,
        )?;
        slog::info!(log, "daemon started"; "daemon" => %settings.daemon.name, "callers" => %settings.daemon.callers);
        Ok(Self {
            context,
            feed,
            heartbeats,
            shards,
            limit_refresher,
            log,
            orders,
            ready,
            shard_refresher,
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

    /// Closes the daemon and aborts the requests that haven't ended within the drain time.
    ///
    /// The daemon announces that it is leaving, so that it is no longer ready and peers take over
    /// its shards. It then waits for the requests of callers and of other daemons, and at last
    /// closes the listeners and tasks.
    pub async fn close(self) -> CloseReport {
        self.ready.abort();
        slog::info!(self.log, "daemon is leaving");
        self.heartbeats.set_state(MemberState::Leaving).await;
        self.orders.close().await;
        time::sleep(LEAVE_PAUSE).await;
        self.context.gate.close();
        let end = time::Instant::now() + self.settings.timeouts.drain;
        while is_busy(&self.context) && time::Instant::now() < end {
            time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let aborted_requests = in_flight(&self.context);
        self.servers.close().await;
        self.shard_refresher.abort();
        self.limit_refresher.abort();
        self.feed.close();
        self.vms.close();
        if let Some(heartbeats) = Arc::into_inner(self.heartbeats) {
            heartbeats.close();
        }
        drop(self.shards);
        slog::info!(self.log, "daemon closed"; "cut" => aborted_requests);
        CloseReport { aborted_requests }
    }

    /// Returns a function that counts the requests that would be aborted if the daemon ended now.
    pub fn in_flight_gauge(&self) -> impl Fn() -> usize + use<> {
        let context = Arc::clone(&self.context);
        move || in_flight(&context)
    }
}

/// Returns whether requests are in flight or outcomes of claims have yet to be stored.
fn is_busy(context: &RequestContext<DaemonStore>) -> bool {
    in_flight(context) > 0 || context.claims.pending_writes() > 0
}

/// Returns the number of requests in flight, of callers or at upstreams of shards that this daemon
/// owns or owned, whichever is larger.
fn in_flight(context: &RequestContext<DaemonStore>) -> usize {
    let owned = usize::try_from(context.metrics.owned_in_flight.get()).unwrap_or_default();
    context.gate.in_flight().max(owned)
}
