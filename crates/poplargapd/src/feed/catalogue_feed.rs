//! The task that keeps the catalogue in force up to date.

use {
    super::{
        PeerClients,
        store_watch::{self, BucketUpdate},
    },
    crate::{
        invariant::{Invariant, InvariantMonitor},
        members::{MemberView, VmView},
        metrics::DaemonMetrics,
    },
    poplargap_core::{
        catalogue::{BucketTable, CatalogueSnapshot},
        name::DataCentre,
        rendezvous,
    },
    poplargap_link::rpc::{CatalogueBucket, CatalogueDelta, DELTA_LEN_MAX},
    poplargap_platform::{KeyValueStore, StoreError},
    slog::Logger,
    std::{
        mem,
        net::SocketAddr,
        sync::{Arc, PoisonError, RwLock},
        time::Duration,
    },
    tokio::{sync::watch, task::JoinHandle, time},
};

/// Daemons of a data centre that watch the store; the others learn from them.
const WATCHERS: usize = 2;

/// Pause after a failed reading of the store or of peers.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between two looks at the peers' revisions.
const PEER_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two readings from other data centres while the store is out of reach.
const REMOTE_INTERVAL: Duration = Duration::from_secs(2);

/// What the feed needs of other tasks.
#[derive(Debug)]
pub struct FeedInputs {
    /// The own data centre.
    pub data_centre: DataCentre,
    /// Asserts that the revision never goes back.
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
    snapshots: watch::Receiver<Arc<CatalogueSnapshot>>,
    table: Arc<RwLock<BucketTable>>,
}

impl CatalogueReader {
    /// Returns buckets that changed after `revision`, one page from the key after `after`.
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
    let reader = CatalogueReader {
        snapshots: receiver,
        table: Arc::clone(&table),
    };
    (
        FeedChannels {
            revision,
            snapshots,
            table,
        },
        reader,
        revisions,
    )
}

/// Where the feed publishes.
#[derive(Debug)]
pub(crate) struct FeedChannels {
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
            changed: false,
            channels,
            inputs,
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
    /// Whether the table holds buckets that no published snapshot has.
    changed: bool,
    channels: FeedChannels,
    inputs: FeedInputs,
    reachable: bool,
    store: S,
}

impl<S: KeyValueStore> FeedState<S> {
    async fn run(mut self) {
        while self.revision() == 0 {
            self.start_up().await;
        }
        loop {
            if self.is_watcher() {
                self.watch_store().await;
            } else {
                self.follow_peers().await;
                time::sleep(PEER_INTERVAL).await;
            }
        }
    }

    /// Takes the first catalogue from the store, or from any peer when the store doesn't answer.
    async fn start_up(&mut self) {
        match self.list_store().await {
            Ok(()) => self.note_store(None),
            Err(error) => {
                self.note_store(Some(&error));
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
        let result = match store_watch::watch(&self.store, self.revision()).await {
            // After no answer the store's client uses a fresh connection.
            Err(StoreError::Compacted(_) | StoreError::NoAnswer(_)) => self.list_store().await,
            Err(error) => Err(error),
            Ok(update) => {
                self.accept(&update.buckets);
                self.publish(update.revision);
                Ok(())
            }
        };
        match result {
            Ok(()) => self.note_store(None),
            Err(error) => {
                self.note_store(Some(&error));
                self.follow_peers().await;
                self.follow_remote().await;
                time::sleep(REMOTE_INTERVAL).await;
            }
        }
    }

    /// Takes all buckets from the store, page by page, so that one page is held at a time.
    ///
    /// The pages may come from several revisions; the listing is complete up to the first.
    async fn list_store(&mut self) -> Result<(), StoreError> {
        let mut after: Option<String> = None;
        let mut revision = None;
        loop {
            let page = store_watch::list_page(&self.store, after.as_deref()).await?;
            revision.get_or_insert(page.update.revision);
            self.accept(&page.update.buckets);
            after = page.next;
            if after.is_none() {
                self.publish(revision.unwrap_or_default());
                return Ok(());
            }
        }
    }

    /// Learns from a peer with the highest revision, if that is higher than the own one.
    ///
    /// Daemons choose different ones of these peers, so that none answers them all.
    async fn follow_peers(&mut self) {
        let best = {
            let members = self.inputs.members.borrow();
            let highest = members.peers.iter().map(|peer| peer.revision).max();
            members
                .peers
                .iter()
                .filter(|peer| Some(peer.revision) == highest)
                .max_by_key(|peer| rendezvous::score(members.own.name.as_str(), peer.name.as_str()))
                .map(|peer| (peer.revision, peer.peers))
        };
        if let Some((revision, peer)) = best
            && revision > self.revision()
        {
            self.learn_from(peer).await;
        }
    }

    /// Learns from one daemon of each other data centre.
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
            self.learn_from(peer).await;
        }
    }

    async fn learn_from(&mut self, peer: SocketAddr) {
        let own = self.revision();
        let mut after = None;
        let mut revision = None;
        loop {
            let Some(delta) = self.inputs.peers.catalogue_since(peer, own, after).await else {
                return;
            };
            revision.get_or_insert(delta.revision);
            let buckets = delta.buckets.into_iter().map(|bucket| BucketUpdate {
                key: bucket.key,
                revision: bucket.revision,
                value: bucket.value,
            });
            self.accept(&buckets.collect::<Vec<_>>());
            after = delta.next;
            if after.is_none() {
                break;
            }
        }
        self.publish(revision.unwrap_or_default());
    }

    fn accept(&mut self, buckets: &[BucketUpdate]) {
        let mut table = self
            .channels
            .table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        for bucket in buckets {
            match table.accept(&bucket.key, bucket.revision, &bucket.value) {
                Ok(accepted) => self.changed |= accepted,
                Err(error) => {
                    slog::error!(self.inputs.log, "bucket can't be read"; "error" => %error);
                }
            }
        }
    }

    /// Puts what was accepted in force, complete up to `revision`.
    fn publish(&mut self, revision: u64) {
        let before = self.revision();
        let changed = mem::take(&mut self.changed);
        let mut table = self
            .channels
            .table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        table.complete(revision);
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
            slog::info!(self.inputs.log, "catalogue in force"; "revision" => revision);
        }
    }

    fn note_store(&mut self, error: Option<&StoreError>) {
        match (error, self.reachable) {
            (Some(error), true) => {
                slog::warn!(self.inputs.log, "store is out of reach"; "error" => %error);
            }
            (None, false) => slog::info!(self.inputs.log, "store answers again"),
            _ => {}
        }
        self.reachable = error.is_none();
    }
}
