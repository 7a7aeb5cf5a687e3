use {
    super::{FeedContext, era_guard::EraChange, feed_read::FeedUpdate},
    crate::crash_board::{CRASHES_PREFIX, CrashBoard, SOUND_PREFIX},
    poplargap_core::{
        collections::HashSet,
        forward::{EvidenceChange, EvidenceKey, EvidenceListing},
    },
    poplargap_store::{StoreRevision, StoredValue},
    serde::de::DeserializeOwned,
    slog::info,
    std::sync::Arc,
};

/// A listing that has yet to come.
#[derive(Debug, Default)]
struct AwaitedListing {
    /// Keys that have changed since.
    changed: HashSet<EvidenceKey>,
    /// Whether the store has come back from a copy since the last listing.
    is_new_era: bool,
}

/// Passes crash reports and notes on prompt parts from the store to the board.
#[derive(Debug)]
pub(super) struct EvidenceFeed<F, S> {
    awaited: Option<AwaitedListing>,
    board: Arc<CrashBoard>,
    context: FeedContext<F, S>,
}

impl<F, S> EvidenceFeed<F, S> {
    pub(super) fn new(context: FeedContext<F, S>, board: Arc<CrashBoard>) -> Self {
        Self {
            awaited: None,
            board,
            context,
        }
    }

    /// Applies an update of the store; returns how much of the evidence is kept though a copy lacks it.
    pub(super) fn apply(&mut self, update: &FeedUpdate) -> usize {
        match update {
            FeedUpdate::Changes(_) | FeedUpdate::Value(_) => {
                let changes = update.changes().iter().filter_map(|change| {
                    self.read(&change.key, change.revision, change.value.as_deref())
                });
                let changes: Vec<EvidenceChange> = changes.collect();
                if let Some(awaited) = &mut self.awaited {
                    awaited
                        .changed
                        .extend(changes.iter().map(EvidenceChange::key));
                }
                self.board.apply(changes);
                0
            }
            FeedUpdate::Listing(listing) => {
                let awaited = self.await_listing(listing.era_change);
                if listing.defers_evidence {
                    self.awaited = Some(awaited);
                    return 0;
                }
                self.replace(awaited, &listing.values)
            }
            FeedUpdate::Evidence(values) => {
                let awaited = self.awaited.take().unwrap_or_default();
                self.replace(awaited, values)
            }
        }
    }

    /// Takes what is known of a listing that hasn't come, and returns it for the next one.
    fn await_listing(&mut self, era_change: Option<EraChange>) -> AwaitedListing {
        let before = self.awaited.take().unwrap_or_default();
        AwaitedListing {
            changed: HashSet::default(),
            is_new_era: before.is_new_era || era_change.is_some(),
        }
    }

    fn replace(&self, awaited: AwaitedListing, values: &[StoredValue]) -> usize {
        let values = values
            .iter()
            .filter_map(|value| self.read(&value.key, value.revision, Some(&value.value)));
        let listing = EvidenceListing {
            changed: awaited.changed,
            values: values.collect(),
        };
        if awaited.is_new_era {
            return self.board.replace_in_new_era(listing);
        }
        self.board.replace(listing);
        0
    }

    /// Reads a key; `None` if it is another one or has no part's name.
    fn read(
        &self,
        key: &str,
        revision: StoreRevision,
        value: Option<&str>,
    ) -> Option<EvidenceChange> {
        if let Some(part) = key.strip_prefix(SOUND_PREFIX) {
            let part = u64::from_str_radix(part, 16).ok()?;
            let note = self.decode(key, value);
            return Some(EvidenceChange::Note(
                part,
                note.map(|note| (revision, note)),
            ));
        }
        key.starts_with(CRASHES_PREFIX).then(|| {
            let report = self.decode(key, value);
            EvidenceChange::Report(key.to_owned(), report.map(|report| (revision, report)))
        })
    }

    fn decode<T: DeserializeOwned>(&self, key: &str, value: Option<&str>) -> Option<T> {
        match serde_json::from_str(value?) {
            Ok(value) => Some(value),
            Err(error) => {
                info!(self.context.log, "evidence of a crash can't be read";
                    "key" => key, "reason" => %error);
                None
            }
        }
    }
}
