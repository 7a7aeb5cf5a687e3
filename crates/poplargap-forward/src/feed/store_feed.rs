use {
    super::{
        FeedContext,
        replicas_feed::ReplicasFeed,
        routes_feed::RoutesFeed,
        store_follower::{FeedNews, StoreFollower},
    },
    crate::FeedDialect,
    poplargap_core::forward::{ReplicaView, RouteTable},
    poplargap_store::KeyValueStore,
    std::sync::Arc,
    tokio::{sync::watch, time::sleep},
};

/// Keeps the routes in force and the view of the replicas up to date.
///
/// One watch follows both, since every call to the store has a price and each daemon makes them.
pub(crate) async fn follow_store<F: FeedDialect, S: KeyValueStore>(
    context: FeedContext<F, S>,
    routes: watch::Sender<Option<Arc<RouteTable>>>,
    replicas: watch::Sender<Arc<ReplicaView>>,
) {
    let prefixes = vec![
        context.dialect.routes_key().to_owned(),
        context.dialect.replicas_prefix().to_owned(),
    ];
    let pause = context.settings.pause;
    let mut follower = StoreFollower::new(context.clone(), prefixes);
    let routes = RoutesFeed::new(context.clone(), routes);
    let mut replicas = ReplicasFeed::new(context, replicas);
    loop {
        let expiry = replicas.expiry();
        tokio::select! {
            read = follower.read() => match read {
                Ok(news) => {
                    routes.take(&news);
                    replicas.take(&news);
                }
                Err(_) => replicas.lose_store(),
            },
            () = sleep(expiry) => {}
        }
        replicas.publish();
        sleep(pause).await;
    }
}

impl FeedNews {
    /// Returns the newest value of `key`, if the news hold one.
    pub(super) fn newest(&self, key: &str) -> Option<&str> {
        match self {
            Self::Changes(changes) => changes
                .iter()
                .rev()
                .find(|change| change.key == key)
                .and_then(|change| change.value.as_deref()),
            Self::Listing(values) => values
                .iter()
                .find(|value| value.key == key)
                .map(|value| value.value.as_str()),
        }
    }
}
