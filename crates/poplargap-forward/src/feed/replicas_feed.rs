use {
    super::{
        FeedContext,
        feed_read::{FeedListing, FeedUpdate},
    },
    crate::FeedDialect,
    poplargap_core::{
        forward::{RegistryChange, ReplicaEntry, ReplicaRegistry, ReplicaView},
        instant::MonotonicInstant,
    },
    poplargap_store::{StoredValue, WatchChange},
    slog::info,
    std::sync::Arc,
    tokio::sync::watch,
};

/// Keeps the view of the replicas up to date.
#[derive(Debug)]
pub(super) struct ReplicasFeed<F, S> {
    changed: bool,
    context: FeedContext<F, S>,
    registry: ReplicaRegistry,
    view: watch::Sender<Arc<ReplicaView>>,
}

impl<F: FeedDialect, S> ReplicasFeed<F, S> {
    pub(super) fn new(context: FeedContext<F, S>, view: watch::Sender<Arc<ReplicaView>>) -> Self {
        Self {
            changed: false,
            context,
            registry: ReplicaRegistry::default(),
            view,
        }
    }

    /// Records a failed read of the store.
    pub(super) fn record_store_failure(&mut self) {
        self.registry.record_store_failure();
    }

    /// Publishes the current replicas if any changed.
    pub(super) fn publish(&mut self) {
        self.expire();
        if std::mem::take(&mut self.changed) {
            self.view.send_replace(Arc::new(self.registry.view()));
        }
    }

    /// Returns how many registrations are kept though the store lacks them.
    pub(super) fn kept(&self) -> usize {
        self.registry.lapsed_count()
    }

    /// Returns when lapsed registrations expire.
    pub(super) fn expiry(&self) -> Option<MonotonicInstant> {
        self.registry.grace_end()
    }

    /// Applies an update of the store.
    pub(super) fn apply(&mut self, update: &FeedUpdate) {
        match update {
            FeedUpdate::Changes(_) | FeedUpdate::Listing(_) => {}
            FeedUpdate::Evidence(_) => return,
            FeedUpdate::Value(change) => {
                // The store was read for this value alone, which doesn't end an outage.
                self.apply_change(change);
                return;
            }
        }
        let now = self.context.clock.now();
        self.registry.record_store_read(now);
        for change in update.changes() {
            self.apply_change(change);
        }
        if let FeedUpdate::Listing(listing) = update {
            let FeedListing {
                era_change, values, ..
            } = listing;
            let entries = values.iter().filter_map(|value| self.read(value)).collect();
            let changes = if era_change.is_some() {
                self.registry.replace_in_new_era(entries, now)
            } else {
                self.registry.replace(entries)
            };
            for (id, change) in changes {
                self.record_change(&id, change);
            }
        }
        self.registry.finish_catch_up();
    }

    fn apply_change(&mut self, change: &WatchChange) {
        let prefix = self.context.dialect.replicas_prefix();
        let Some(id) = change.key.strip_prefix(prefix) else {
            return;
        };
        let entry = change
            .value
            .as_deref()
            .and_then(|value| self.decode(id, value));
        let registry_change = match entry {
            Some(entry) => self.registry.put(entry),
            None => self.registry.remove(id),
        };
        if let Some(registry_change) = registry_change {
            self.record_change(id, registry_change);
        }
    }

    fn read(&self, value: &StoredValue) -> Option<ReplicaEntry> {
        let prefix = self.context.dialect.replicas_prefix();
        self.decode(value.key.strip_prefix(prefix)?, &value.value)
    }

    fn decode(&self, id: &str, value: &str) -> Option<ReplicaEntry> {
        let now = self.context.clock.now();
        match self.context.dialect.read_replica(id, value, now) {
            Ok(entry) => Some(entry),
            Err(error) => {
                info!(self.context.log, "replica's registration can't be read";
                    "replica" => id, "reason" => %error);
                None
            }
        }
    }

    /// Removes the replicas that didn't renew their registrations.
    fn expire(&mut self) {
        for id in self.registry.expire(self.context.clock.now()) {
            self.record_change(&id, RegistryChange::Gone);
        }
    }

    fn record_change(&mut self, id: &str, change: RegistryChange) {
        self.changed = true;
        let change: &'static str = change.into();
        info!(self.context.log, "replica's registration changed";
            "replica" => id, "change" => change);
    }
}
