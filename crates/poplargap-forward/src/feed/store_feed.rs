use {
    super::{
        FeedContext,
        era_guard::EraChange,
        evacuation_feed::EvacuationFeed,
        evidence_feed::EvidenceFeed,
        peers_feed::PeersFeed,
        replicas_feed::ReplicasFeed,
        routes_feed::RoutesFeed,
        shared_reads::FeedSharing,
        store_follower::{FeedRead, FeedUpdate, StoreFollower},
    },
    crate::{
        FeedDialect,
        crash_board::{CRASHES_PREFIX, CrashBoard, SOUND_PREFIX},
        peers::PEERS_PREFIX,
    },
    poplargap_core::forward::{EvacuationView, PeerView, ReplicaView, RouteTable},
    poplargap_store::KeyValueStore,
    slog::warn,
    std::{sync::Arc, time::Duration},
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
/// a few daemons read the store, and the others read the changes from these.
pub(crate) async fn follow_store<F: FeedDialect, S: KeyValueStore>(
    context: FeedContext<F, S>,
    views: FeedViews,
    evacuation_limit: Duration,
    sharing: Option<FeedSharing>,
) {
    let mut prefixes = vec![
        context.dialect.routes_key(),
        context.dialect.replicas_prefix(),
        context.dialect.evacuations_prefix(),
        CRASHES_PREFIX,
        SOUND_PREFIX,
    ];
    prefixes.extend(sharing.iter().map(|_| PEERS_PREFIX));
    let own_peer = sharing.as_ref().map(|sharing| sharing.own);
    let mut follower = StoreFollower::new(context.clone(), &prefixes, sharing);
    let evidence = EvidenceFeed::new(context.clone(), views.crashes);
    let mut evacuations = EvacuationFeed::new(
        context.clone(),
        evacuation_limit,
        views.replicas.subscribe(),
        views.evacuations,
    );
    let routes = RoutesFeed::new(context.clone(), views.routes);
    let mut peers = own_peer.map(|own| PeersFeed::new(context.clone(), own, views.peers));
    let mut replicas = ReplicasFeed::new(context.clone(), views.replicas);
    loop {
        let ends = [
            replicas.expiry(),
            peers.as_ref().and_then(PeersFeed::expiry),
            evacuations.expiry(),
        ];
        let now = context.clock.now();
        let expiry = ends.into_iter().flatten().min();
        let expiry = expiry.map_or(EXPIRY_MAX, |end| end.since(now));
        tokio::select! {
            read = follower.read() => match read {
                Ok(FeedRead { after_outage, update }) => {
                    if after_outage {
                        replicas.record_store_failure();
                    }
                    replicas.apply(&update);
                    replicas.publish();
                    if let Some(peers) = &mut peers {
                        peers.apply(&update);
                    }
                    evacuations.apply(&update);
                    let lost_evidence = evidence.apply(&update);
                    // Requests that are held for the routes need the replicas, too.
                    routes.apply(&update);
                    if let FeedUpdate::Listing(listing) = &update
                        && let Some(change) = listing.era_change
                    {
                        record_era(&context, &change, &KeptValues {
                            evidence: lost_evidence,
                            listed: listing.values.len(),
                            peers: peers.as_ref().map_or(0, PeersFeed::kept),
                            replicas: replicas.kept(),
                        });
                    }
                }
                Err(_) => replicas.record_store_failure(),
            },
            () = sleep(expiry) => {}
        }
        replicas.publish();
        evacuations.expire();
        if let Some(peers) = &mut peers {
            peers.expire();
        }
        context.metrics.store().set_era(follower.era());
        sleep(follower.pause()).await;
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

impl FeedUpdate {
    /// Returns the newest value of `key`, if the update has one.
    pub(super) fn newest(&self, key: &str) -> Option<&str> {
        match self {
            Self::Changes(changes) => changes
                .iter()
                .rev()
                .find(|change| change.key == key)
                .and_then(|change| change.value.as_deref()),
            Self::Listing(listing) => listing
                .values
                .iter()
                .find(|value| value.key == key)
                .map(|value| value.value.as_str()),
        }
    }
}
