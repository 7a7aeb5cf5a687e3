//! Resources that all tasks of a daemon share.

use {
    super::StartError,
    crate::{
        clock::ProcessClock, invariant::InvariantMonitor, metrics::DaemonMetrics,
        shards::ProgressLimits,
    },
    poplargap_core::{
        membership::{MemberReport, MemberState},
        settings::DaemonSettings,
    },
    poplargap_link::proof::FleetKey,
    poplargap_platform::StoreClient,
    poplargap_store::{CallBucket, CallRate, HttpVmList, PacedStore, StoreCounters},
    slog::Logger,
    std::{num::NonZeroU32, sync::Arc, time::SystemTime},
};

/// The platform's store, with a limited rate of calls.
pub(super) type DaemonStore = PacedStore<StoreClient>;

/// Clock, metrics, log, key and the platform's clients.
#[derive(Debug)]
pub(super) struct DaemonBase {
    pub(super) clock: ProcessClock,
    pub(super) invariants: InvariantMonitor,
    pub(super) key: FleetKey,
    pub(super) log: Logger,
    pub(super) metrics: Arc<DaemonMetrics>,
    pub(super) store: DaemonStore,
    pub(super) vm_list: HttpVmList,
}

impl DaemonBase {
    /// Creates the shared resources.
    pub(super) fn new(settings: &DaemonSettings, log: Logger) -> Result<Self, StartError> {
        let metrics = Arc::new(DaemonMetrics::new().map_err(StartError::Metrics)?);
        let registry = metrics.registry();
        let invariants = InvariantMonitor::new(registry, log.clone(), settings.invariants.panic)
            .map_err(StartError::Metrics)?;
        let counters = StoreCounters::with_bytes(metrics.control.clone());
        counters.register(registry).map_err(StartError::Metrics)?;
        let (store, vm_list) = platform(settings, counters)?;
        Ok(Self {
            clock: ProcessClock::start(),
            invariants,
            key: FleetKey::new(settings.fleet.secret.expose()),
            log,
            metrics,
            store,
            vm_list,
        })
    }
}

fn platform(
    settings: &DaemonSettings,
    counters: StoreCounters,
) -> Result<(DaemonStore, HttpVmList), StartError> {
    let timeout = settings.store.timeout;
    let per_second = NonZeroU32::new(settings.store.calls_per_second).unwrap_or(NonZeroU32::MIN);
    let bucket = CallBucket::new(CallRate {
        burst: per_second,
        per_second,
    });
    let store = StoreClient::with_counters(settings.store.address, timeout, counters.clone())
        .map_err(|error| StartError::Platform(error.to_string()))?;
    let vm_list = HttpVmList::with_counters(settings.vm_list_address(), timeout, counters)
        .map_err(|error| StartError::Platform(error.to_string()))?;
    Ok((PacedStore::new(store, bucket), vm_list))
}

/// Returns the daemon's initial report of itself, in the joining state.
pub(super) fn own_report(settings: &DaemonSettings) -> MemberReport {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    MemberReport {
        incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        name: settings.daemon.name.clone(),
        peers: settings.daemon.peers,
        relay: settings.daemon.relay,
        revision: 0,
        sequence: 0,
        state: MemberState::Joining,
    }
}

/// Returns the longest waits for progress at upstreams.
pub(super) fn progress_limits(settings: &DaemonSettings) -> ProgressLimits {
    ProgressLimits {
        between_events: settings.timeouts.between_events,
        connect: settings.timeouts.connect,
        first_byte: settings.timeouts.first_byte,
    }
}
