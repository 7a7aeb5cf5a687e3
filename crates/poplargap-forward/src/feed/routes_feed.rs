use {
    super::{
        FeedContext,
        store_follower::{FeedNews, StoreFollower},
    },
    crate::FeedDialect,
    poplargap_core::forward::RouteTable,
    poplargap_platform::KeyValueStore,
    slog::{info, warn},
    std::sync::Arc,
    tokio::sync::watch,
};

/// Keeps the routes in force up to date; a version never goes back.
pub(crate) async fn follow_routes<F: FeedDialect, S: KeyValueStore>(
    context: FeedContext<F, S>,
    routes: watch::Sender<Option<Arc<RouteTable>>>,
) {
    let key = context.dialect.routes_key().to_owned();
    let mut follower = StoreFollower::new(context.clone(), "routes", &key);
    loop {
        let Ok(news) = follower.read().await else {
            continue;
        };
        let value = match &news {
            FeedNews::Listing(values) => values
                .iter()
                .find(|value| value.key == key)
                .map(|value| value.value.as_str()),
            FeedNews::Changes(changes) => changes
                .iter()
                .rev()
                .find(|change| change.key == key)
                .and_then(|change| change.value.as_deref()),
        };
        if let Some(value) = value {
            take(&context, &routes, value);
        } else if matches!(news, FeedNews::Listing(_)) {
            tokio::time::sleep(context.settings.replicas_pause).await;
        }
    }
}

fn take<F: FeedDialect, S>(
    context: &FeedContext<F, S>,
    routes: &watch::Sender<Option<Arc<RouteTable>>>,
    value: &str,
) {
    let table = match context.dialect.read_routes(value) {
        Ok(table) => Arc::new(table),
        Err(problem) => {
            warn!(context.log, "routes can't be read"; "reason" => %problem);
            return;
        }
    };
    let before = routes.borrow().as_ref().map(|table| table.version());
    if before.is_some_and(|before| before >= table.version()) {
        info!(context.log, "older routes passed over";
            "version" => table.version(), "in-force" => before);
        return;
    }
    info!(context.log, "routes in force"; "version" => table.version(),
        "before" => before, "routes" => table.route_count());
    routes.send_replace(Some(table));
}
