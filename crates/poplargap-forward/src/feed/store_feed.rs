use {
    super::{
        FeedContext, era_guard::EraChange, evacuation_feed::EvacuationFeed,
        evidence_feed::EvidenceFeed, evidence_reads::EvidenceReads, feed_read::FeedUpdate,
        omitted_reads::OmittedReads, peers_feed::PeersFeed, replicas_feed::ReplicasFeed,
        routes_feed::RoutesFeed, shared_reads::FeedSharing, store_follower::StoreFollower,
        store_listing::FeedPrefixes,
    },
    crate::{
        FeedDialect,
        crash_board::{CRASHES_PREFIX, CrashBoard, SOUND_PREFIX},
        peers::PEERS_PREFIX,
    },
    poplargap_core::forward::{EvacuationView, PeerView, ReplicaView, RouteTable},
    poplargap_store::KeyValueStore,
    slog::warn,
    std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Wait for values to expire while none do.
const EXPIRY_MAX: Duration = Duration::from_hours(1);

/// The channels on which a feed publishes its views.
#[derive(Debug)]
pub(crate) struct FeedViews {
    pub(crate) crashes: Arc<CrashBoard>,
    pub(crate) evacuations: watch::Sender<Arc<EvacuationView>>,
    pub(crate) peers: watch::Sender<Arc<PeerView>>,
    pub(crate) replicas: watch::Sender<Arc<ReplicaView>>,
    pub(crate) routes: watch::Sender<Option<Arc<RouteTable>>>,
}

/// Keeps the routes in force and the views of replicas and daemons up to date.
///
/// A single watch covers all of them, since calls to the store are costly. In a large data centre
/// a few daemons read the store, and the others read the changes from these; the values that these leave
/// out are read beside the changes.
pub(crate) async fn follow_store<F: FeedDialect, S: KeyValueStore>(
    context: FeedContext<F, S>,
    views: FeedViews,
    evacuation_limit: Duration,
    sharing: Option<FeedSharing>,
) {
    let prefixes = prefixes(&context.dialect, sharing.is_some());
    let own_peer = sharing.as_ref().map(|sharing| sharing.own);
    let mut feeds = StoreFeeds::new(&context, views, evacuation_limit, own_peer);
    let mut evidence = EvidenceReads::new(context.clone(), prefixes.evidence.clone());
    let mut omitted = OmittedReads::new(context.clone());
    let mut follower = StoreFollower::new(context.clone(), prefixes, sharing);
    loop {
        let read = {
            let mut read = pin!(follower.read());
            loop {
                tokio::select! {
                    read = &mut read => break read,
                    change = omitted.next() => feeds.apply(&FeedUpdate::Value(change)),
                    values = evidence.next() => feeds.apply(&FeedUpdate::Evidence(values)),
                    () = sleep(feeds.expiry()) => {}
                }
                feeds.expire();
            }
        };
        match read {
            Ok(read) => {
                omitted.apply(&read);
                evidence.apply(&read, follower.position());
                if read.after_outage {
                    feeds.replicas.record_store_failure();
                }
                feeds.apply(&read.update);
            }
            Err(_) => feeds.replicas.record_store_failure(),
        }
        feeds.expire();
        context.metrics.store().set_era(follower.era());
    }
}

fn prefixes<F: FeedDialect>(dialect: &F, has_peers: bool) -> FeedPrefixes {
    let mut urgent = vec![
        dialect.routes_key().to_owned(),
        dialect.evacuations_prefix().to_owned(),
        dialect.replicas_prefix().to_owned(),
    ];
    if has_peers {
        urgent.push(PEERS_PREFIX.to_owned());
    }
    FeedPrefixes {
        evidence: vec![CRASHES_PREFIX.to_owned(), SOUND_PREFIX.to_owned()],
        routes: dialect.routes_key().to_owned(),
        urgent,
    }
}

/// The feeds of all views.
#[derive(Debug)]
struct StoreFeeds<F, S> {
    context: FeedContext<F, S>,
    evacuations: EvacuationFeed<F, S>,
    evidence: EvidenceFeed<F, S>,
    peers: Option<PeersFeed<F, S>>,
    replicas: ReplicasFeed<F, S>,
    routes: RoutesFeed<F, S>,
}

impl<F: FeedDialect, S: KeyValueStore> StoreFeeds<F, S> {
    fn new(
        context: &FeedContext<F, S>,
        views: FeedViews,
        evacuation_limit: Duration,
        own_peer: Option<SocketAddr>,
    ) -> Self {
        let replicas = views.replicas.subscribe();
        Self {
            context: context.clone(),
            evacuations: EvacuationFeed::new(
                context.clone(),
                evacuation_limit,
                replicas,
                views.evacuations,
            ),
            evidence: EvidenceFeed::new(context.clone(), views.crashes),
            peers: own_peer.map(|own| PeersFeed::new(context.clone(), own, views.peers)),
            replicas: ReplicasFeed::new(context.clone(), views.replicas),
            routes: RoutesFeed::new(context.clone(), views.routes),
        }
    }

    /// Applies an update to all views.
    ///
    /// Requests that are held for the routes need the replicas, too. The evidence of crashes comes last,
    /// since judging it may take long.
    fn apply(&mut self, update: &FeedUpdate) {
        self.replicas.apply(update);
        self.replicas.publish();
        if let Some(peers) = &mut self.peers {
            peers.apply(update);
        }
        self.evacuations.apply(update);
        self.routes.apply(update);
        let lost_evidence = self.evidence.apply(update);
        if let FeedUpdate::Listing(listing) = update
            && let Some(change) = listing.era_change
        {
            let kept = KeptValues {
                evidence: lost_evidence,
                listed: listing.values.len(),
                peers: self.peers.as_ref().map_or(0, PeersFeed::kept),
                replicas: self.replicas.kept(),
            };
            record_era(&self.context, &change, &kept);
        }
    }

    /// Returns the time until values expire.
    fn expiry(&self) -> Duration {
        let ends = [
            self.replicas.expiry(),
            self.peers.as_ref().and_then(PeersFeed::expiry),
            self.evacuations.expiry(),
        ];
        let now = self.context.clock.now();
        let first = ends.into_iter().flatten().min();
        first.map_or(EXPIRY_MAX, |end| end.since(now))
    }

    /// Removes what has expired.
    fn expire(&mut self) {
        self.replicas.publish();
        self.evacuations.expire();
        if let Some(peers) = &mut self.peers {
            peers.expire();
        }
    }
}

/// What a listing in a new era had, and what is kept though it lacks it.
#[derive(Clone, Copy, Debug)]
struct KeptValues {
    evidence: usize,
    listed: usize,
    peers: usize,
    replicas: usize,
}

/// Records that the store came back from a copy.
fn record_era<F, S>(context: &FeedContext<F, S>, change: &EraChange, kept: &KeptValues) {
    context.metrics.store().record_era_change();
    warn!(context.log, "store came back from a copy; all values are listed again";
        "from" => change.from.number(), "to" => change.to.number(), "listed" => kept.listed,
        "kept-replicas" => kept.replicas, "kept-peers" => kept.peers,
        "to-write-again" => kept.evidence);
}
