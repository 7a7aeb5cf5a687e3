//! Starts the tasks and actors of a daemon.

use {
    super::daemon_base::{DaemonBase, DaemonStore, own_report},
    crate::{
        feed::{CatalogueFeed, FeedChannels, FeedInputs, PeerClients},
        limits::{LimitActor, LimitInputs, LoanClient, RefreshLimits},
        members::{HeartbeatInputs, HeartbeatSettings, HeartbeatTask, MemberView, VmView},
        pipeline::{AdmitGate, ClaimStore, OwnerDirectory, RequestContext, TraceRing},
        relay::RelayClient,
        shards::{
            ChatTask, RefreshShards, ShardActor, ShardInputs, ShardSettings, UpstreamClients,
        },
    },
    poplargap_core::{
        catalogue::CatalogueSnapshot, instant::MonotonicInstant, membership::MemberState,
        owner::PolicyKind, settings::DaemonSettings,
    },
    poplargap_link::heartbeat::{PoolSummary, ShardReport},
    std::{num::NonZeroUsize, sync::Arc, time::Duration},
    tokio::{
        net::UdpSocket,
        sync::watch,
        time::{self, MissedTickBehavior},
    },
    xtra::{Address, Mailbox},
};

/// Time between two refreshes of the loans of limits.
const LIMITS_INTERVAL: Duration = Duration::from_millis(25);

/// Values that tasks publish for each other.
#[derive(Clone, Debug)]
pub(super) struct DaemonViews {
    pub(super) catalogue: watch::Receiver<Arc<CatalogueSnapshot>>,
    pub(super) confirmed: watch::Receiver<MonotonicInstant>,
    pub(super) members: watch::Receiver<Arc<MemberView>>,
    pub(super) vms: watch::Receiver<Arc<VmView>>,
}

/// Starts sending and receiving heartbeats.
pub(super) fn start_heartbeats(
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

/// Starts following the catalogue.
pub(super) fn start_feed(
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

/// Starts the actor that places work.
pub(super) fn start_shards(
    settings: &DaemonSettings,
    base: &DaemonBase,
    views: &DaemonViews,
    clients: UpstreamClients,
    (pools, reports): (
        watch::Sender<Vec<PoolSummary>>,
        watch::Sender<Vec<ShardReport>>,
    ),
) -> Address<ShardActor> {
    let inputs = ShardInputs {
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
        ShardActor::new(shard_settings(settings), inputs),
        Mailbox::unbounded(),
    )
}

/// Starts the actor that admits requests under limits.
pub(super) fn start_limits(
    settings: &DaemonSettings,
    base: &DaemonBase,
    views: &DaemonViews,
    loan_client: LoanClient,
) -> Address<LimitActor> {
    let inputs = LimitInputs {
        catalogue: views.catalogue.clone(),
        clock: base.clock,
        daemon: settings.daemon.name.clone(),
        data_centre: settings.daemon.data_centre.clone(),
        incarnation: views.members.borrow().own.incarnation,
        loan_client,
        suspect: settings.timeouts.suspect,
    };
    xtra::spawn_tokio(LimitActor::new(inputs), Mailbox::unbounded())
}

/// Creates the context that all requests share.
pub(super) fn request_context(
    settings: &DaemonSettings,
    base: &DaemonBase,
    views: &DaemonViews,
    (peers, relays): (PeerClients, RelayClient),
    limits: Address<LimitActor>,
    task: ChatTask,
) -> RequestContext<DaemonStore> {
    RequestContext {
        gate: AdmitGate::new(settings.limits.callers_max),
        body_deadline: settings.limits.body_deadline,
        body_max: settings.limits.body_max.bytes(),
        catalogue: views.catalogue.clone(),
        claims: ClaimStore::new(settings.daemon.name.clone(), base.store.clone()),
        clock: base.clock,
        data_centre: settings.daemon.data_centre.clone(),
        has_owners: settings.placement.policy == PolicyKind::Affinity,
        invariants: base.invariants.clone(),
        limits,
        members: views.members.clone(),
        metrics: Arc::clone(&base.metrics),
        peers,
        relays,
        owners: OwnerDirectory::default(),
        task,
        traces: TraceRing::default(),
        vms: views.vms.clone(),
        write_timeout: settings.timeouts.write,
    }
}

/// Makes the shard actor refresh when one of its inputs changes, and every half of `interval`.
pub(super) async fn refresh_shards(
    shards: Address<ShardActor>,
    mut views: DaemonViews,
    interval: Duration,
) {
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
        if changed.is_err() || shards.send(RefreshShards).await.is_err() {
            return;
        }
    }
}

/// Makes the limit actor refresh its loans every `LIMITS_INTERVAL`.
pub(super) async fn refresh_limits(limits: Address<LimitActor>) {
    let mut ticks = time::interval(LIMITS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if limits.send(RefreshLimits).await.is_err() {
            return;
        }
    }
}

/// Announces that the daemon is ready once it has a catalogue.
pub(super) async fn announce_ready(
    heartbeats: Arc<HeartbeatTask>,
    mut revision: watch::Receiver<u64>,
) {
    if revision.wait_for(|revision| *revision > 0).await.is_ok() {
        heartbeats.set_state(MemberState::Ready).await;
    }
}

fn shard_settings(settings: &DaemonSettings) -> ShardSettings {
    ShardSettings {
        chats: NonZeroUsize::new(settings.placement.remembered_chats).unwrap_or(NonZeroUsize::MIN),
        data_centre: settings.daemon.data_centre.clone(),
        policy: settings.placement.policy,
        seed: rand::random(),
        suspect: settings.timeouts.suspect,
    }
}
