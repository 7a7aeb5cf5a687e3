//! The platform's key-value store over HTTP.

use {
    crate::{
        CallKind, CallOutcome, KeyValueStore, LeaseGrant, LeaseId, StoreCounters, StoreError,
        StoreRevision, StoredValue, SwapOutcome, SwapWrite, ValuePage, WatchBatch,
        call_record::CallRecord,
        http_pool::{HttpAnswer, HttpPool},
        wire::{
            CompactionNotice, KeyQuery, LEASE_PATH, LIST_PATH, LeaseRequest, ListQuery,
            SwapReceipt, VALUE_PATH, WATCH_PATH, WatchQuery,
        },
    },
    reqwest::{Client, RequestBuilder, StatusCode},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// A client of the key-value store.
///
/// Every call ends by its timeout, a watch by its wait and the timeout. Clones share
/// connections and counters.
#[derive(Clone, Debug)]
pub struct HttpStore {
    pool: HttpPool,
}

impl HttpStore {
    /// Creates a client with counters of its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP library can't be set up.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, StoreError> {
        Self::with_counters(address, timeout, StoreCounters::new())
    }

    /// Creates a client that adds to `counters`.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP library can't be set up.
    pub fn with_counters(
        address: SocketAddr,
        timeout: Duration,
        counters: StoreCounters,
    ) -> Result<Self, StoreError> {
        let pool = HttpPool::new(address, "store", timeout, counters)?;
        Ok(Self { pool })
    }

    /// Returns the client's counters.
    #[must_use]
    pub fn counters(&self) -> &StoreCounters {
        self.pool.counters()
    }

    async fn call(
        &self,
        kind: CallKind,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<(), StoreError> {
        let record = CallRecord::new(self.counters(), kind);
        let result = match self.pool.send(Duration::ZERO, request).await {
            Ok(answer) => check_status(&answer, kind),
            Err(error) => Err(error),
        };
        record.finish(CallOutcome::from(&result));
        result
    }

    async fn read<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        wait: Duration,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<T, StoreError> {
        let record = CallRecord::new(self.counters(), kind);
        let result = match self.pool.send(wait, request).await {
            Ok(answer) => check_status(&answer, kind).and_then(|()| answer.decode()),
            Err(error) => Err(error),
        };
        record.finish(CallOutcome::from(&result));
        result
    }
}

impl KeyValueStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let url = self.pool.url(VALUE_PATH);
        let key = key.to_owned();
        self.read(CallKind::Get, Duration::ZERO, |client| {
            client.get(url).query(&KeyQuery { key })
        })
        .await
    }

    async fn list(&self, prefix: &str, after: Option<&str>) -> Result<ValuePage, StoreError> {
        let url = self.pool.url(LIST_PATH);
        let query = ListQuery {
            after: after.map(str::to_owned),
            limit: None,
            prefix: prefix.to_owned(),
        };
        self.read(CallKind::List, Duration::ZERO, |client| {
            client.get(url).query(&query)
        })
        .await
    }

    async fn swap(&self, write: &SwapWrite) -> SwapOutcome {
        let url = self.pool.url(VALUE_PATH);
        let record = CallRecord::new(self.counters(), CallKind::Swap);
        let result = self
            .pool
            .send(Duration::ZERO, |client| client.put(url).json(write))
            .await;
        let outcome = match result {
            Ok(answer) => read_swap(&answer),
            Err(error @ StoreError::NotSent(_)) => SwapOutcome::Failed(error),
            Err(error) => SwapOutcome::Unknown(error),
        };
        record.finish(CallOutcome::from(&outcome));
        outcome
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let url = self.pool.url(WATCH_PATH);
        let query = WatchQuery {
            after,
            prefix: prefix.to_owned(),
            wait_ms: millis(wait),
        };
        self.read(CallKind::Watch, wait, |client| {
            client.get(url).query(&query)
        })
        .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        let url = self.pool.url(LEASE_PATH);
        let request = LeaseRequest {
            ttl_ms: millis(ttl),
        };
        self.read(CallKind::GrantLease, Duration::ZERO, |client| {
            client.post(url).json(&request)
        })
        .await
    }

    async fn renew_lease(&self, id: LeaseId) -> Result<(), StoreError> {
        let url = self.pool.url(&format!("{LEASE_PATH}/{}/renew", id.0));
        self.call(CallKind::RenewLease, |client| client.post(url))
            .await
    }

    async fn revoke_lease(&self, id: LeaseId) -> Result<(), StoreError> {
        let url = self.pool.url(&format!("{LEASE_PATH}/{}", id.0));
        self.call(CallKind::RevokeLease, |client| client.delete(url))
            .await
    }
}

fn check_status(answer: &HttpAnswer, kind: CallKind) -> Result<(), StoreError> {
    match answer.status {
        status if status.is_success() => Ok(()),
        StatusCode::GONE => {
            let notice: CompactionNotice = answer.decode()?;
            Err(StoreError::Compacted(notice.revision.0))
        }
        StatusCode::NOT_FOUND if kind.names_lease() => Err(StoreError::NoLease),
        status => Err(StoreError::Refused(status.as_u16())),
    }
}

/// Reads a swap's outcome; only a refusal in the 400s proves that nothing was written.
fn read_swap(answer: &HttpAnswer) -> SwapOutcome {
    let status = answer.status;
    if status.is_success() {
        return match answer.decode::<SwapReceipt>() {
            Ok(receipt) => SwapOutcome::Applied(receipt.revision),
            Err(error) => SwapOutcome::Unknown(error),
        };
    }
    if status == StatusCode::CONFLICT {
        return match answer.decode() {
            Ok(current) => SwapOutcome::Conflict(current),
            Err(error) => SwapOutcome::Failed(error),
        };
    }
    if status == StatusCode::NOT_FOUND {
        return SwapOutcome::Failed(StoreError::NoLease);
    }
    let error = StoreError::Refused(status.as_u16());
    if status.is_client_error() {
        SwapOutcome::Failed(error)
    } else {
        SwapOutcome::Unknown(error)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
