//! The body of an answer with changes of the store between daemons.
//!
//! The era isn't a part of it: daemons of earlier releases refuse fields that they don't know. It
//! is sent in a header, which they ignore.

use {
    super::{FeedBatch, FeedChange, FeedValue},
    hyper::HeaderMap,
    poplargap_store::{StoreEra, StoreRevision},
    serde::{Deserialize, Serialize},
};

/// Header of requests and answers with the number of the store's era.
pub(super) const ERA_HEADER: &str = "poplargap-era";

/// Returns the era that a message states; `None` for a daemon of an earlier release.
pub(super) fn read_era(headers: &HeaderMap) -> Option<StoreEra> {
    let text = headers.get(ERA_HEADER)?.to_str().ok()?;
    text.parse().ok().map(StoreEra::new)
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
    /// Converts the body of an answer of `era`.
    #[must_use]
    pub fn into_batch(self, era: StoreEra) -> FeedBatch {
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
