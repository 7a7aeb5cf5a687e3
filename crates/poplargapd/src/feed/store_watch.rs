//! Reads the catalogue's buckets from the platform's store.

use {
    poplargap_core::catalogue::BUCKET_PREFIX,
    poplargap_store::{KeyValueStore, StoreError, StoreRevision},
    std::time::Duration,
};

/// Longest wait of one watch, which is also how long a hanging connection stays undetected.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Value of one bucket and the revision of its last change.
#[derive(Debug)]
pub(super) struct BucketUpdate {
    pub(super) key: String,
    pub(super) revision: u64,
    pub(super) value: String,
}

/// Buckets and the revision up to which they are complete.
#[derive(Debug)]
pub(super) struct StoreUpdate {
    pub(super) buckets: Vec<BucketUpdate>,
    pub(super) revision: u64,
}

/// Lists all buckets.
///
/// The listing's pages may come from several revisions; it is complete up to the first.
pub(super) async fn list<S: KeyValueStore>(store: &S) -> Result<StoreUpdate, StoreError> {
    let mut buckets = Vec::new();
    let mut revision = None;
    let mut after: Option<String> = None;
    loop {
        let page = store.list(BUCKET_PREFIX, after.as_deref()).await?;
        revision.get_or_insert(page.revision.0);
        buckets.extend(page.values.into_iter().map(|value| BucketUpdate {
            key: value.key,
            revision: value.revision.0,
            value: value.value,
        }));
        after = page.next;
        if after.is_none() {
            let revision = revision.unwrap_or_default();
            return Ok(StoreUpdate { buckets, revision });
        }
    }
}

/// Waits for buckets that change after `revision`.
pub(super) async fn watch<S: KeyValueStore>(
    store: &S,
    revision: u64,
) -> Result<StoreUpdate, StoreError> {
    let batch = store
        .watch(BUCKET_PREFIX, StoreRevision(revision), WATCH_WAIT)
        .await?;
    let buckets = batch
        .changes
        .into_iter()
        .filter_map(|change| {
            let value = change.value?;
            Some(BucketUpdate {
                key: change.key,
                revision: change.revision.0,
                value,
            })
        })
        .collect();
    let revision = batch.revision.0;
    Ok(StoreUpdate { buckets, revision })
}
