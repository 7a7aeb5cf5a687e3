//! Interface to the platform's key-value store.

use {
    crate::StoreEras,
    displaydoc::Display,
    poplargap_core::store_position::{LeaseId, StoreEra, StoreRevision},
    std::time::Duration,
};

/// A value with the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// The value's key.
    pub key: String,
    /// Revision of the value's last change.
    pub revision: StoreRevision,
    /// The value: text, up to one megabyte.
    pub value: String,
}

/// A write that takes effect only when the key's revision is the expected one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SwapWrite {
    /// Revision that the key must have; `None` when the key must be absent.
    pub expected: Option<StoreRevision>,
    /// The key.
    pub key: String,
    /// Lease whose end removes the key; `None` for a permanent value.
    pub lease: Option<LeaseId>,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The write took effect at this revision.
    Applied(StoreRevision),
    /// The write had no effect: the key is at this value, or absent.
    Conflict(Option<StoredValue>),
    /// The answer was lost; the write may or may not have taken effect, now or later.
    Unknown(StoreError),
    /// The write had no effect: it never reached the store, or the store refused it.
    Failed(StoreError),
}

/// One page of a listing by prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValuePage {
    /// Key to continue after, or `None` on the last page.
    pub next: Option<String>,
    /// The store's revision when the page was read.
    pub revision: StoreRevision,
    /// Values sorted by key.
    pub values: Vec<StoredValue>,
}

/// One change reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchChange {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: StoreRevision,
    /// The new value, or `None` when the key was removed.
    pub value: Option<String>,
}

/// Changes after a revision, sorted by revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchBatch {
    /// The changes; empty when there was none before the wait ended.
    pub changes: Vec<WatchChange>,
    /// Revision up to which the batch is complete.
    pub revision: StoreRevision,
}

/// A lease that the store granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Fencing number: higher than that of every lease granted before.
    pub fence: u64,
    /// The lease's id.
    pub id: LeaseId,
    /// Time to live in milliseconds, counted from when the request was sent.
    pub ttl_ms: u64,
}

/// An error in a call to the platform.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoreError {
    /// revision {0} is compacted; list again
    Compacted(u64),
    /// the store came back from a copy: era {current} follows era {held}
    EraChanged {
        /// Era on which the call was based.
        held: StoreEra,
        /// Newest era that is known.
        current: StoreEra,
    },
    /// the answer can't be read: {0}
    Malformed(String),
    /// nothing was sent: {0}
    NotSent(String),
    /// the lease is unknown or has ended
    NoLease,
    /// the store refused the call with status {0}
    Refused(u16),
    /// no answer came: {0}
    NoAnswer(String),
    /// the key has changed since; whether the write took effect before that can't be seen
    Superseded,
}

impl std::error::Error for StoreError {}

/// Access to the platform's key-value store.
pub trait KeyValueStore: Clone + Send + Sync + 'static {
    /// Returns the eras of the store, as all calls of the process see them.
    ///
    /// A store without eras has a single one, which is the default.
    fn eras(&self) -> StoreEras {
        StoreEras::default()
    }

    /// Reads one value; `None` when the key is absent.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredValue>, StoreError>> + Send;

    /// Reads one value as it was up to some seconds ago, which costs less where the store offers that.
    fn get_stale(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredValue>, StoreError>> + Send {
        self.get(key)
    }

    /// Lists values by prefix, from the key after `after`.
    ///
    /// Each call returns one page. A watch after a listing has to start from the revision of the
    /// first page, or it misses changes to keys on pages that were already read.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> impl Future<Output = Result<ValuePage, StoreError>> + Send;

    /// Writes or removes a value if its revision is the expected one.
    ///
    /// A write whose precondition or lease is of an earlier era isn't sent, since it might hold by
    /// chance. If the era changed on the way, the outcome is unknown.
    fn swap(&self, write: &SwapWrite) -> impl Future<Output = SwapOutcome> + Send;

    /// Waits up to `wait` for changes after a revision to keys with a prefix.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchBatch, StoreError>> + Send;

    /// Requests a lease.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseGrant, StoreError>> + Send;

    /// Renews a lease for its full time to live.
    fn renew_lease(&self, id: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Ends a lease; the keys bound to it are removed.
    fn revoke_lease(&self, id: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;
}
