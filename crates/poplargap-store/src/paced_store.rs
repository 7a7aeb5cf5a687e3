//! A store with a rate limit on its calls.

use {
    crate::{
        CallBucket, KeyValueStore, LeaseGrant, LeaseId, StoreEras, StoreError, StoreRevision,
        StoredValue, SwapOutcome, SwapWrite, ValuePage, WatchBatch,
    },
    std::time::Duration,
};

/// Store wrapper that delays calls to keep them within a rate limit.
///
/// Clones share the token bucket. The delay has no deadline; callers have to set one.
#[derive(Clone, Debug)]
pub struct PacedStore<S> {
    bucket: CallBucket,
    inner: S,
}

impl<S> PacedStore<S> {
    /// Wraps `inner`, limited by `bucket`; several stores may share one bucket.
    pub fn new(inner: S, bucket: CallBucket) -> Self {
        Self { bucket, inner }
    }
}

impl<S: KeyValueStore> KeyValueStore for PacedStore<S> {
    fn eras(&self) -> StoreEras {
        self.inner.eras()
    }

    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.bucket.take().await;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<ValuePage, StoreError> {
        self.bucket.take().await;
        self.inner.list(prefix, after).await
    }

    async fn swap(&self, write: &SwapWrite) -> SwapOutcome {
        self.bucket.take().await;
        self.inner.swap(write).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.bucket.take().await;
        self.inner.watch(prefix, after, wait).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        self.bucket.take().await;
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, id: LeaseId) -> Result<(), StoreError> {
        self.bucket.take().await;
        self.inner.renew_lease(id).await
    }

    async fn revoke_lease(&self, id: LeaseId) -> Result<(), StoreError> {
        self.bucket.take().await;
        self.inner.revoke_lease(id).await
    }
}
