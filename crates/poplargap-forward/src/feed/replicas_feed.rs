use {
    super::{
        FeedContext,
        store_follower::{FeedNews, StoreFollower},
    },
    crate::FeedDialect,
    poplargap_core::forward::{RegistryChange, ReplicaRegistry, ReplicaView},
    poplargap_platform::{KeyValueStore, StoredValue, WatchChange},
    slog::info,
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Longest time between two looks at lapsed registrations.
const EXPIRY_MAX: Duration = Duration::from_secs(3_600);

/// Keeps the view of the replicas up to date.
pub(crate) async fn follow_replicas<F: FeedDialect, S: KeyValueStore>(
    context: FeedContext<F, S>,
    replicas: watch::Sender<Arc<ReplicaView>>,
) {
    let prefix = context.dialect.replicas_prefix().to_owned();
    let mut follower = StoreFollower::new(context.clone(), "replicas", &prefix);
    let mut feed = ReplicasFeed {
        context,
        prefix,
        registry: ReplicaRegistry::default(),
    };
    loop {
        let expiry = feed.expiry();
        let changed = tokio::select! {
            read = follower.read() => match read {
                Ok(news) => feed.take(news),
                Err(_) => {
                    feed.registry.lose_store();
                    false
                }
            },
            () = sleep(expiry) => false,
        };
        if feed.expire() || changed {
            replicas.send_replace(Arc::new(feed.registry.view()));
        }
        sleep(feed.context.settings.replicas_pause).await;
    }
}

#[derive(Debug)]
struct ReplicasFeed<F, S> {
    context: FeedContext<F, S>,
    prefix: String,
    registry: ReplicaRegistry,
}

impl<F: FeedDialect, S> ReplicasFeed<F, S> {
    /// Returns the time until lapsed registrations are forgotten.
    fn expiry(&self) -> Duration {
        let end = self.registry.grace_end();
        end.map_or(EXPIRY_MAX, |end| end.since(self.context.clock.now()))
    }

    /// Takes in news and returns whether the view changed.
    fn take(&mut self, news: FeedNews) -> bool {
        let now = self.context.clock.now();
        self.registry.regain_store(now);
        let changed = self.take_news(&news);
        self.registry.settle();
        changed
    }

    fn take_news(&mut self, news: &FeedNews) -> bool {
        match news {
            FeedNews::Changes(changes) => {
                let mut changed = false;
                for change in changes {
                    changed |= self.take_change(change);
                }
                changed
            }
            FeedNews::Listing(values) => {
                let entries = values.iter().filter_map(|value| self.read(value)).collect();
                let changes = self.registry.replace(entries);
                for (id, change) in &changes {
                    self.note(id, *change);
                }
                !changes.is_empty()
            }
        }
    }

    fn take_change(&mut self, change: &WatchChange) -> bool {
        let Some(id) = change.key.strip_prefix(&self.prefix) else {
            return false;
        };
        let entry = change
            .value
            .as_deref()
            .and_then(|value| self.context.dialect.read_replica(id, value).ok());
        let news = match entry {
            Some(entry) => self.registry.put(entry),
            None => self.registry.remove(id),
        };
        if let Some(news) = news {
            self.note(id, news);
        }
        news.is_some()
    }

    fn read(&self, value: &StoredValue) -> Option<poplargap_core::forward::ReplicaEntry> {
        let id = value.key.strip_prefix(&self.prefix)?;
        match self.context.dialect.read_replica(id, &value.value) {
            Ok(entry) => Some(entry),
            Err(problem) => {
                info!(self.context.log, "registration names no replica";
                    "replica" => id, "reason" => %problem);
                None
            }
        }
    }

    /// Forgets replicas that didn't come back; returns whether there were any.
    fn expire(&mut self) -> bool {
        let gone = self.registry.expire(self.context.clock.now());
        for id in &gone {
            self.note(id, RegistryChange::Gone);
        }
        !gone.is_empty()
    }

    fn note(&self, id: &str, change: RegistryChange) {
        let change: &'static str = change.into();
        info!(self.context.log, "replica's registration changed";
            "replica" => id, "change" => change);
    }
}
