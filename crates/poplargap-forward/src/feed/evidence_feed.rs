use {
    super::{
        FeedContext,
        store_follower::{FeedListing, FeedUpdate},
    },
    crate::crash_board::{CRASHES_PREFIX, CrashBoard, SOUND_PREFIX},
    poplargap_core::forward::EvidenceChange,
    poplargap_store::StoreRevision,
    serde::de::DeserializeOwned,
    slog::info,
    std::sync::Arc,
};

/// Passes crash reports and notes on prompt parts from the store to the board.
#[derive(Debug)]
pub(super) struct EvidenceFeed<F, S> {
    board: Arc<CrashBoard>,
    context: FeedContext<F, S>,
}

impl<F, S> EvidenceFeed<F, S> {
    pub(super) fn new(context: FeedContext<F, S>, board: Arc<CrashBoard>) -> Self {
        Self { board, context }
    }

    /// Applies an update of the store; returns how much of the evidence is kept though a copy lacks it.
    pub(super) fn apply(&self, update: &FeedUpdate) -> usize {
        match update {
            FeedUpdate::Changes(_) | FeedUpdate::Value(_) => {
                let changes = update.changes().iter().filter_map(|change| {
                    self.read(&change.key, change.revision, change.value.as_deref())
                });
                self.board.apply(changes.collect());
                0
            }
            FeedUpdate::Listing(FeedListing { era_change, values }) => {
                let values = values
                    .iter()
                    .filter_map(|value| self.read(&value.key, value.revision, Some(&value.value)));
                if era_change.is_some() {
                    return self.board.replace_in_new_era(values.collect());
                }
                self.board.replace(values.collect());
                0
            }
        }
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
