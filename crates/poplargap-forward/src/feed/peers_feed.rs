use {
    super::{FeedContext, store_follower::FeedUpdate},
    crate::{
        DecodeError,
        peers::{LeasedEntry, PEERS_PREFIX},
    },
    poplargap_core::forward::{PeerEntry, PeerView, ProcessAddress},
    slog::info,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    tokio::sync::watch,
};

/// Keeps the view of the other daemons up to date.
///
/// An entry that expires during an outage of the store is removed: its daemon announces itself
/// again.
#[derive(Debug)]
pub(super) struct PeersFeed<F, S> {
    context: FeedContext<F, S>,
    entries: BTreeMap<String, PeerEntry>,
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
            own,
            view,
        }
    }

    /// Applies an update of the store.
    pub(super) fn apply(&mut self, update: &FeedUpdate) {
        let changed = match update {
            FeedUpdate::Changes(changes) => {
                let own = changes
                    .iter()
                    .filter(|change| change.key.starts_with(PEERS_PREFIX));
                own.filter(|change| self.put(&change.key, change.value.as_deref()))
                    .count()
            }
            FeedUpdate::Listing(values) => {
                let before = std::mem::take(&mut self.entries);
                for value in values {
                    if value.key.starts_with(PEERS_PREFIX) {
                        self.put(&value.key, Some(&value.value));
                    }
                }
                usize::from(before != self.entries)
            }
        };
        if changed > 0 {
            let view = PeerView::new(self.entries.values(), self.own);
            info!(self.context.log, "peer daemons changed";
                "changes" => changed, "others" => view.len());
            self.view.send_replace(Arc::new(view));
        }
    }

    /// Adds, updates or removes one entry; returns whether the view changes.
    fn put(&mut self, key: &str, value: Option<&str>) -> bool {
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
