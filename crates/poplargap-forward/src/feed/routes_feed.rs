use {
    super::{FeedContext, feed_read::FeedUpdate},
    crate::FeedDialect,
    poplargap_core::forward::RouteTable,
    slog::{info, warn},
    std::sync::Arc,
    tokio::sync::watch,
};

/// Keeps the routes in force; a lower version never replaces a higher one.
#[derive(Debug)]
pub(super) struct RoutesFeed<F, S> {
    context: FeedContext<F, S>,
    routes: watch::Sender<Option<Arc<RouteTable>>>,
}

impl<F: FeedDialect, S> RoutesFeed<F, S> {
    pub(super) fn new(
        context: FeedContext<F, S>,
        routes: watch::Sender<Option<Arc<RouteTable>>>,
    ) -> Self {
        Self { context, routes }
    }

    /// Applies the newest routes in an update, if it has any.
    pub(super) fn apply(&self, update: &FeedUpdate) {
        let log = &self.context.log;
        let Some(value) = update.newest(self.context.dialect.routes_key()) else {
            return;
        };
        let table = match self.context.dialect.read_routes(value) {
            Ok(table) => Arc::new(table),
            Err(error) => {
                warn!(log, "routes can't be read"; "reason" => %error);
                return;
            }
        };
        let before = self.routes.borrow().as_ref().map(|table| table.version());
        if before >= Some(table.version()) {
            info!(log, "routes ignored because their version isn't newer";
                "version" => table.version(), "in-force" => before);
            return;
        }
        info!(log, "routes applied"; "version" => table.version(),
            "before" => before, "routes" => table.route_count());
        self.routes.send_replace(Some(table));
    }
}
