use {
    super::{
        FeedContext,
        feed_read::{FeedListing, FeedUpdate},
    },
    crate::{
        DecodeError,
        peers::{LeasedEntry, PEERS_PREFIX},
    },
    poplargap_core::{
        forward::{PeerEntry, PeerView, ProcessAddress},
        instant::MonotonicInstant,
    },
    slog::info,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::watch,
};

/// Time for a daemon to announce itself again after the store came back from a copy.
const ANNOUNCE_GRACE: Duration = Duration::from_secs(10);

/// Keeps the view of the other daemons up to date.
///
/// An entry that expires during an outage of the store is removed: its daemon announces itself
/// again. One that is missing from a copy of the store is kept for the time that this takes.
#[derive(Debug)]
pub(super) struct PeersFeed<F, S> {
    context: FeedContext<F, S>,
    entries: BTreeMap<String, PeerEntry>,
    /// Keys of the entries that a copy of the store lacks.
    lost: BTreeSet<String>,
    lost_until: MonotonicInstant,
    own: SocketAddr,
    view: watch::Sender<Arc<PeerView>>,
}

impl<F, S> PeersFeed<F, S> {
    pub(super) fn new(
        context: FeedContext<F, S>,
        own: SocketAddr,
        view: watch::Sender<Arc<PeerView>>,
    ) -> Self {
        Self {
            context,
            entries: BTreeMap::new(),
            lost: BTreeSet::new(),
            lost_until: MonotonicInstant::default(),
            own,
            view,
        }
    }

    /// Applies an update of the store.
    pub(super) fn apply(&mut self, update: &FeedUpdate) {
        let changed = match update {
            FeedUpdate::Changes(_) | FeedUpdate::Evidence(_) | FeedUpdate::Value(_) => {
                let own = update
                    .changes()
                    .iter()
                    .filter(|change| change.key.starts_with(PEERS_PREFIX));
                own.filter(|change| self.put(&change.key, change.value.as_deref()))
                    .count()
            }
            FeedUpdate::Listing(FeedListing {
                era_change, values, ..
            }) => {
                let before = std::mem::take(&mut self.entries);
                let lost = std::mem::take(&mut self.lost);
                for value in values {
                    if value.key.starts_with(PEERS_PREFIX) {
                        self.put(&value.key, Some(&value.value));
                    }
                }
                if era_change.is_some() {
                    self.lost_until = self.context.clock.now() + ANNOUNCE_GRACE;
                    self.keep_lost(before.iter());
                } else {
                    self.keep_lost(before.iter().filter(|(key, _)| lost.contains(*key)));
                }
                usize::from(before != self.entries)
            }
        };
        self.publish(changed);
    }

    /// Returns the number of entries that are kept though a copy of the store lacks them.
    pub(super) fn kept(&self) -> usize {
        self.lost.len()
    }

    /// Returns when the entries that a copy of the store lacks are removed.
    pub(super) fn expiry(&self) -> Option<MonotonicInstant> {
        (!self.lost.is_empty()).then_some(self.lost_until)
    }

    /// Removes the entries of daemons that haven't announced themselves again in time.
    pub(super) fn expire(&mut self) {
        if self.lost.is_empty() || self.context.clock.now() < self.lost_until {
            return;
        }
        let lost = std::mem::take(&mut self.lost);
        let removed = lost
            .iter()
            .filter(|key| self.entries.remove(*key).is_some());
        let removed = removed.count();
        self.publish(removed);
    }

    /// Keeps those of the `earlier` entries that the listing lacks.
    fn keep_lost<'a>(&mut self, earlier: impl Iterator<Item = (&'a String, &'a PeerEntry)>) {
        for (key, entry) in earlier {
            if !self.entries.contains_key(key) {
                self.entries.insert(key.clone(), entry.clone());
                self.lost.insert(key.clone());
            }
        }
    }

    fn publish(&self, changed: usize) {
        if changed > 0 {
            let view = PeerView::new(self.entries.values(), self.own);
            info!(self.context.log, "peer daemons changed";
                "changes" => changed, "others" => view.len());
            self.view.send_replace(Arc::new(view));
        }
    }

    /// Adds, updates or removes one entry; returns whether the view changes.
    fn put(&mut self, key: &str, value: Option<&str>) -> bool {
        self.lost.remove(key);
        let Some(value) = value else {
            return self.entries.remove(key).is_some();
        };
        match read_entry(value) {
            Ok(entry) => self.entries.insert(key.to_owned(), entry.clone()) != Some(entry),
            Err(error) => {
                info!(self.context.log, "daemon's entry can't be read"; "key" => key, "reason" => %error);
                self.entries.remove(key).is_some()
            }
        }
    }
}

fn read_entry(value: &str) -> Result<PeerEntry, DecodeError> {
    let leased: LeasedEntry =
        serde_json::from_str(value).map_err(|error| DecodeError(error.to_string()))?;
    let address = ProcessAddress::try_from(leased.entry.address);
    address.map_err(|error| DecodeError(error.to_string()))?;
    Ok(leased.entry)
}
