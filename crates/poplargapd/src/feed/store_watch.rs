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

/// An update from the store, and where a watch continues from it.
#[derive(Debug)]
pub(super) struct StoreRead {
    pub(super) position: StoreRevision,
    pub(super) update: StoreUpdate,
}

/// Lists all buckets.
///
/// The listing's pages may come from several revisions; it is complete up to the first.
pub(super) async fn list<S: KeyValueStore>(store: &S) -> Result<StoreRead, StoreError> {
    let mut buckets = Vec::new();
    let mut position = None;
    let mut after: Option<String> = None;
    loop {
        let page = store.list(BUCKET_PREFIX, after.as_deref()).await?;
        let first = *position.get_or_insert(page.revision);
        buckets.extend(page.values.into_iter().map(|value| BucketUpdate {
            key: value.key,
            revision: value.revision.number(),
            value: value.value,
        }));
        after = page.next;
        if after.is_none() {
            return Ok(StoreRead::new(first, buckets));
        }
    }
}

impl StoreRead {
    fn new(position: StoreRevision, buckets: Vec<BucketUpdate>) -> Self {
        let revision = position.number();
        Self {
            position,
            update: StoreUpdate { buckets, revision },
        }
    }
}

/// Waits for buckets that change after `position`.
pub(super) async fn watch<S: KeyValueStore>(
    store: &S,
    position: StoreRevision,
) -> Result<StoreRead, StoreError> {
    let batch = store.watch(BUCKET_PREFIX, position, WATCH_WAIT).await?;
    let buckets = batch
        .changes
        .into_iter()
        .filter_map(|change| {
            let value = change.value?;
            Some(BucketUpdate {
                key: change.key,
                revision: change.revision.number(),
                value,
            })
        })
        .collect();
    Ok(StoreRead::new(batch.revision, buckets))
}
