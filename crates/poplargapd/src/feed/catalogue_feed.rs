//! Task that keeps the catalogue in force up to date.

use {
    super::{
        PeerClients,
        store_watch::{self, BucketUpdate, StoreRead, StoreUpdate},
    },
    crate::{
        clock::ProcessClock,
        invariant::{Invariant, InvariantMonitor},
        members::{MemberView, VmView},
        metrics::DaemonMetrics,
    },
    poplargap_core::{
        catalogue::{BucketTable, CatalogueSnapshot},
        instant::MonotonicInstant,
        name::DataCentre,
    },
    poplargap_link::rpc::{CatalogueBucket, CatalogueDelta, DELTA_LEN_MAX},
    poplargap_store::{KeyValueStore, StoreError, StoreRevision},
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::{Arc, PoisonError, RwLock},
        time::Duration,
    },
    tokio::{sync::watch, task::JoinHandle, time},
};

/// Number of daemons in a data centre that watch the store; the others read from them.
const WATCHERS: usize = 2;

/// Pause after a failed read from the store and from peers.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Interval at which the peers' revisions are checked.
const PEER_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of reads from other data centres while the store is unreachable.
const REMOTE_INTERVAL: Duration = Duration::from_secs(2);

/// Longest step of the feed unless the daemon was paused; a watch and its pause take less time.
const STEP_MAX: Duration = Duration::from_secs(2);

/// Channels and services that the feed uses.
#[derive(Debug)]
pub struct FeedInputs {
    /// The daemon's clock.
    pub clock: ProcessClock,
    /// The own data centre.
    pub data_centre: DataCentre,
    /// Checks that the revision never decreases.
    pub invariants: InvariantMonitor,
    /// The daemon's log.
    pub log: Logger,
    /// The peers' revisions.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// The daemon's metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// RPC clients of peers.
    pub peers: PeerClients,
    /// Daemons of other data centres.
    pub vms: watch::Receiver<Arc<VmView>>,
}

/// Reads the catalogue in force; cheap to clone.
#[derive(Clone, Debug)]
pub struct CatalogueReader {
    confirmed: watch::Receiver<MonotonicInstant>,
    snapshots: watch::Receiver<Arc<CatalogueSnapshot>>,
    table: Arc<RwLock<BucketTable>>,
}

impl CatalogueReader {
    /// Returns a page of the buckets that changed after `revision`, starting after the key `after`.
    #[must_use]
    pub fn since(&self, revision: u64, after: Option<&str>) -> CatalogueDelta {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        let mut buckets = Vec::new();
        let mut len = 0;
        let mut next = None;
        for (key, bucket) in table.since(revision, after) {
            if len >= DELTA_LEN_MAX {
                next = buckets
                    .last()
                    .map(|bucket: &CatalogueBucket| bucket.key.clone());
                break;
            }
            len += bucket.value.len();
            buckets.push(CatalogueBucket {
                key: key.to_owned(),
                revision: bucket.revision,
                value: bucket.value.clone(),
            });
        }
        CatalogueDelta {
            buckets,
            next,
            revision: table.revision(),
        }
    }

    /// Returns a receiver of the last instant at which the snapshot was known to be current.
    #[must_use]
    pub fn confirmed(&self) -> watch::Receiver<MonotonicInstant> {
        self.confirmed.clone()
    }

    /// Returns a receiver of the snapshots in force.
    #[must_use]
    pub fn snapshots(&self) -> watch::Receiver<Arc<CatalogueSnapshot>> {
        self.snapshots.clone()
    }
}

/// The running feed.
#[derive(Debug)]
pub struct CatalogueFeed {
    handle: JoinHandle<()>,
}

/// Creates the channels of the feed, so that tasks that the feed needs can start before it.
pub(crate) fn channels() -> (FeedChannels, CatalogueReader, watch::Receiver<u64>) {
    let table = Arc::new(RwLock::new(BucketTable::default()));
    let (snapshots, receiver) = watch::channel(Arc::new(CatalogueSnapshot::default()));
    let (revision, revisions) = watch::channel(0);
    let (confirmed, confirmations) = watch::channel(MonotonicInstant::default());
    let reader = CatalogueReader {
        confirmed: confirmations,
        snapshots: receiver,
        table: Arc::clone(&table),
    };
    (
        FeedChannels {
            confirmed,
            revision,
            snapshots,
            table,
        },
        reader,
        revisions,
    )
}

/// Channels on which the feed publishes.
#[derive(Debug)]
pub(crate) struct FeedChannels {
    confirmed: watch::Sender<MonotonicInstant>,
    revision: watch::Sender<u64>,
    snapshots: watch::Sender<Arc<CatalogueSnapshot>>,
    table: Arc<RwLock<BucketTable>>,
}

impl CatalogueFeed {
    /// Starts reading the catalogue from `store` or peers.
    pub(crate) fn start<S: KeyValueStore>(
        store: S,
        inputs: FeedInputs,
        channels: FeedChannels,
    ) -> Self {
        let state = FeedState {
            channels,
            inputs,
            position: None,
            reachable: true,
            store,
        };
        let handle = tokio::spawn(state.run());
        Self { handle }
    }

    /// Stops reading.
    pub fn close(self) {
        self.handle.abort();
    }
}

struct FeedState<S> {
    channels: FeedChannels,
    inputs: FeedInputs,
    /// Position of the last read of the store; `None` before the first one.
    position: Option<StoreRevision>,
    reachable: bool,
    store: S,
}

impl<S: KeyValueStore> FeedState<S> {
    async fn run(mut self) {
        while self.revision() == 0 {
            self.read_first().await;
        }
        loop {
            let began = self.inputs.clock.now();
            if self.is_watcher() {
                self.watch_store().await;
            } else {
                self.follow_peers().await;
                time::sleep(PEER_INTERVAL).await;
            }
            let step = self.inputs.clock.now().since(began);
            if step <= STEP_MAX {
                self.confirm(began);
            } else {
                self.catch_up().await;
            }
        }
    }

    /// Reads the whole catalogue again after a step in which the daemon may have been paused.
    async fn catch_up(&mut self) {
        let began = self.inputs.clock.now();
        if let Ok(read) = store_watch::list(&self.store).await {
            self.apply_read(&read);
            self.confirm(began);
        }
    }

    /// Publishes that the catalogue was current at `instant`.
    fn confirm(&self, instant: MonotonicInstant) {
        if self.reachable {
            self.channels.confirmed.send_replace(instant);
        }
    }

    /// Reads the first catalogue from the store, or from any peer when the store doesn't answer.
    async fn read_first(&mut self) {
        match store_watch::list(&self.store).await {
            Ok(read) => {
                self.set_store_error(None);
                self.apply_read(&read);
            }
            Err(error) => {
                self.set_store_error(Some(&error));
                self.follow_remote().await;
                self.follow_peers().await;
            }
        }
        if self.revision() == 0 {
            time::sleep(RETRY_PAUSE).await;
        }
    }

    fn revision(&self) -> u64 {
        *self.channels.revision.borrow()
    }

    /// Returns whether this daemon has one of the lowest names of its data centre.
    fn is_watcher(&self) -> bool {
        let members = self.inputs.members.borrow();
        let lower = members
            .ready
            .iter()
            .filter(|member| member.name < members.own.name);
        lower.count() < WATCHERS
    }

    async fn watch_store(&mut self) {
        let watched = match self.position {
            Some(position) => store_watch::watch(&self.store, position).await,
            None => store_watch::list(&self.store).await,
        };
        let read = match watched {
            // After a call without an answer the store's client opens a new connection.
            Err(
                StoreError::Compacted(_) | StoreError::EraChanged { .. } | StoreError::NoAnswer(_),
            ) => store_watch::list(&self.store).await,
            result => result,
        };
        match read {
            Ok(read) => {
                self.set_store_error(None);
                self.apply_read(&read);
            }
            Err(error) => {
                self.set_store_error(Some(&error));
                self.follow_peers().await;
                self.follow_remote().await;
                time::sleep(REMOTE_INTERVAL).await;
            }
        }
    }

    /// Reads from the peer with the highest revision, if that is higher than the own one.
    async fn follow_peers(&mut self) {
        let best = {
            let members = self.inputs.members.borrow();
            members
                .peers
                .iter()
                .max_by_key(|peer| peer.revision)
                .map(|peer| (peer.revision, peer.peers))
        };
        if let Some((revision, peer)) = best
            && revision > self.revision()
        {
            self.read_from(peer).await;
        }
    }

    /// Reads from one daemon of each other data centre.
    async fn follow_remote(&mut self) {
        let peers: Vec<SocketAddr> = {
            let vms = self.inputs.vms.borrow();
            let remote = vms
                .daemons
                .iter()
                .filter(|(name, _)| **name != self.inputs.data_centre);
            remote
                .filter_map(|(_, daemons)| daemons.first().copied())
                .collect()
        };
        for peer in peers {
            self.read_from(peer).await;
        }
    }

    async fn read_from(&mut self, peer: SocketAddr) {
        let own = self.revision();
        let mut after = None;
        let mut revision = None;
        let mut buckets = Vec::new();
        loop {
            let Some(delta) = self.inputs.peers.catalogue_since(peer, own, after).await else {
                return;
            };
            revision.get_or_insert(delta.revision);
            buckets.extend(delta.buckets.into_iter().map(|bucket| BucketUpdate {
                key: bucket.key,
                revision: bucket.revision,
                value: bucket.value,
            }));
            after = delta.next;
            if after.is_none() {
                break;
            }
        }
        let revision = revision.unwrap_or_default();
        self.apply(&StoreUpdate { buckets, revision });
    }

    fn apply_read(&mut self, read: &StoreRead) {
        self.position = Some(read.position);
        self.apply(&read.update);
    }

    fn apply(&mut self, update: &StoreUpdate) {
        let before = self.revision();
        let mut table = self
            .channels
            .table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut changed = false;
        for bucket in &update.buckets {
            match table.accept(&bucket.key, bucket.revision, &bucket.value) {
                Ok(accepted) => changed |= accepted,
                Err(error) => {
                    slog::error!(self.inputs.log, "bucket can't be read"; "error" => %error);
                }
            }
        }
        table.complete(update.revision);
        let revision = table.revision();
        let snapshot = (changed || revision > before).then(|| table.snapshot());
        drop(table);
        self.inputs
            .invariants
            .check(Invariant::RevisionMonotonic, revision >= before, || {
                format!("revision {revision} after {before}")
            });
        if let Some(snapshot) = snapshot {
            self.channels.snapshots.send_replace(snapshot);
            self.channels.revision.send_replace(revision);
            self.inputs
                .metrics
                .revision
                .set(i64::try_from(revision).unwrap_or(i64::MAX));
        }
        if changed {
            slog::info!(self.inputs.log, "new catalogue in force"; "revision" => revision);
        }
    }

    fn set_store_error(&mut self, error: Option<&StoreError>) {
        match (error, self.reachable) {
            (Some(error), true) => {
                slog::warn!(self.inputs.log, "store is unreachable"; "error" => %error);
            }
            (None, false) => slog::info!(self.inputs.log, "store is reachable again"),
            _ => {}
        }
        self.reachable = error.is_none();
    }
}
