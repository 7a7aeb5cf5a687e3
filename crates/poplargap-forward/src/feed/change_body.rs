//! The body of an answer with changes of the store between daemons.
//!
//! The era isn't a part of it, nor is the position of urgent changes: daemons of earlier releases refuse
//! fields that they don't know. Both are sent in headers, which they ignore.

use {
    super::{FeedBatch, FeedChange, FeedValue},
    hyper::HeaderMap,
    poplargap_store::{StoreEra, StoreRevision},
    serde::{Deserialize, Serialize},
};

/// Header of requests and answers with the number of the store's era.
pub(super) const ERA_HEADER: &str = "poplargap-era";

/// Header of requests and answers with the number of the revision up to which the sender, or the answer,
/// has all changes but evidence of crashes.
pub(super) const URGENT_HEADER: &str = "poplargap-urgent";

/// Returns the era that a message states; `None` for a daemon of an earlier release.
pub(super) fn read_era(headers: &HeaderMap) -> Option<StoreEra> {
    read_number(headers, ERA_HEADER).map(StoreEra::new)
}

/// Returns the number of the revision of urgent changes that a message states, which isn't below
/// `complete`.
pub(super) fn read_urgent(headers: &HeaderMap, complete: u64) -> u64 {
    let stated = read_number(headers, URGENT_HEADER);
    stated.map_or(complete, |stated| stated.max(complete))
}

fn read_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// A change of one key.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct ChangeBody {
    key: String,
    revision: u64,
    value: FeedValue,
}

/// The changes between two revisions of one era, as they are sent.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FeedBatchBody {
    after_outage: bool,
    age_ms: u64,
    changes: Vec<ChangeBody>,
    revision: u64,
}

impl FeedBatchBody {
    /// Returns the number of the revision up to which the answer is complete.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Converts the body of an answer of `era` that has all changes but evidence up to `urgent`.
    #[must_use]
    pub fn into_batch(self, era: StoreEra, urgent: u64) -> FeedBatch {
        let changes = self.changes.into_iter().map(|change| FeedChange {
            key: change.key,
            revision: StoreRevision::new(era, change.revision),
            value: change.value,
        });
        FeedBatch {
            after_outage: self.after_outage,
            age_ms: self.age_ms,
            changes: changes.collect(),
            revision: StoreRevision::new(era, self.revision),
            urgent: StoreRevision::new(era, urgent),
        }
    }
}

impl From<FeedBatch> for FeedBatchBody {
    fn from(batch: FeedBatch) -> Self {
        let changes = batch.changes.into_iter().map(|change| ChangeBody {
            key: change.key,
            revision: change.revision.number(),
            value: change.value,
        });
        Self {
            after_outage: batch.after_outage,
            age_ms: batch.age_ms,
            changes: changes.collect(),
            revision: batch.revision.number(),
        }
    }
}
