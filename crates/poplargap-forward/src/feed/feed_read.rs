//! The results of the reads of the store.

use {
    super::{FeedBatch, FeedChange, FeedValue, era_guard::EraChange},
    poplargap_store::{StoreRevision, StoredValue, WatchChange},
    std::slice,
};

/// All values of the store.
#[derive(Debug)]
pub(super) struct FeedListing {
    /// Whether the evidence of crashes is left to a [`FeedUpdate::Evidence`].
    pub(super) defers_evidence: bool,
    /// The change of the store's era since the last listing, if there was one. Values that are missing
    /// may then be written again, and others may be older than those that were known.
    pub(super) era_change: Option<EraChange>,
    pub(super) values: Vec<StoredValue>,
}

/// The content of one read.
#[derive(Debug)]
pub(super) enum FeedUpdate {
    /// Changes since the last update.
    Changes(Vec<WatchChange>),
    /// All evidence of crashes, which the last listing left out.
    Evidence(Vec<StoredValue>),
    /// All values; within an era, they replace all earlier ones.
    Listing(FeedListing),
    /// One value that was read for itself; it says nothing of other changes.
    Value(WatchChange),
}

/// A changed value that another daemon left out.
#[derive(Debug)]
pub(super) struct OmittedChange {
    pub(super) key: String,
    pub(super) revision: StoreRevision,
}

impl From<StoredValue> for FeedUpdate {
    /// Returns the update of a value that was read for itself.
    fn from(stored: StoredValue) -> Self {
        Self::Value(WatchChange {
            key: stored.key,
            revision: stored.revision,
            value: Some(stored.value),
        })
    }
}

impl FeedUpdate {
    /// Returns the changed values; none for a listing.
    pub(super) fn changes(&self) -> &[WatchChange] {
        match self {
            Self::Changes(changes) => changes,
            Self::Evidence(_) | Self::Listing(_) => &[],
            Self::Value(change) => slice::from_ref(change),
        }
    }

    /// Returns the newest value of `key`, if the update has one.
    pub(super) fn newest(&self, key: &str) -> Option<&str> {
        match self {
            Self::Changes(_) | Self::Evidence(_) | Self::Value(_) => {
                let mut newest = self.changes().iter().rev();
                let change = newest.find(|change| change.key == key)?;
                change.value.as_deref()
            }
            Self::Listing(listing) => listing
                .values
                .iter()
                .find(|value| value.key == key)
                .map(|value| value.value.as_str()),
        }
    }
}

/// The result of one read of the store or of a daemon that reads it.
#[derive(Debug)]
pub(super) struct FeedRead {
    /// Whether the reader couldn't read the store for some time before.
    pub(super) after_outage: bool,
    /// The values that have to be read from the store.
    pub(super) omitted: Vec<OmittedChange>,
    pub(super) update: FeedUpdate,
}

impl From<FeedBatch> for FeedRead {
    fn from(batch: FeedBatch) -> Self {
        let mut changes = Vec::with_capacity(batch.changes.len());
        let mut omitted = Vec::new();
        for FeedChange {
            key,
            revision,
            value,
        } in batch.changes
        {
            let value = match value {
                FeedValue::Given(value) => Some(value),
                FeedValue::Omitted => {
                    omitted.push(OmittedChange { key, revision });
                    continue;
                }
                FeedValue::Removed => None,
            };
            changes.push(WatchChange {
                key,
                revision,
                value,
            });
        }
        Self {
            after_outage: batch.after_outage,
            omitted,
            update: FeedUpdate::Changes(changes),
        }
    }
}
