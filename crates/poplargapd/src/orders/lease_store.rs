//! The lease of a data centre's orders in the platform's store.

use {
    super::KEY_PREFIX,
    crate::clock::ProcessClock,
    poplargap_core::{
        instant::MonotonicInstant,
        name::{DaemonName, DataCentre},
    },
    poplargap_store::{KeyValueStore, LeaseId, StoreError, StoreRevision, SwapOutcome, SwapWrite},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Value of the key that exists while the lease is held.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
struct HolderRecord {
    holder: DaemonName,
    /// Number of the lease.
    lease: u64,
}

/// Outcome of an attempt to acquire the lease.
#[derive(Debug)]
pub(super) enum AcquireOutcome {
    /// This daemon holds the lease; the grant was requested at `sent`.
    Acquired { fence: u64, sent: MonotonicInstant },
    /// Another daemon holds the lease.
    Taken,
}

/// Acquires, renews and releases the lease.
///
/// The fencing number is the revision at which the holder's key was created, which rises with
/// every holder. Lease ids need not rise, since two daemons may write the key in a different order
/// from that in which their leases were granted.
#[derive(Debug)]
pub(super) struct LeaseStore<S> {
    clock: ProcessClock,
    holder: DaemonName,
    key: String,
    lease: Option<LeaseId>,
    store: S,
    ttl: Duration,
}

impl<S: KeyValueStore> LeaseStore<S> {
    pub(super) fn new(
        store: S,
        clock: ProcessClock,
        holder: DaemonName,
        data_centre: &DataCentre,
        ttl: Duration,
    ) -> Self {
        Self {
            clock,
            holder,
            key: format!("{KEY_PREFIX}/{data_centre}/holder"),
            lease: None,
            store,
            ttl,
        }
    }

    /// Acquires the lease if no daemon holds it.
    pub(super) async fn acquire(&mut self) -> Result<AcquireOutcome, StoreError> {
        if self.store.get(&self.key).await?.is_some() {
            return Ok(AcquireOutcome::Taken);
        }
        let sent = self.clock.now();
        let grant = self.store.grant_lease(self.ttl).await?;
        self.lease = Some(grant.id);
        match self.write_holder(grant.id).await {
            Ok(Some(revision)) => Ok(AcquireOutcome::Acquired {
                fence: revision.number(),
                sent,
            }),
            Ok(None) => {
                self.release().await;
                Ok(AcquireOutcome::Taken)
            }
            Err(error) => {
                self.release().await;
                Err(error)
            }
        }
    }

    /// Renews the lease and returns the instant at which the renewal was requested.
    pub(super) async fn renew(&self) -> Result<MonotonicInstant, StoreError> {
        let Some(lease) = self.lease else {
            return Err(StoreError::NoLease);
        };
        let sent = self.clock.now();
        self.store.renew_lease(lease).await?;
        Ok(sent)
    }

    /// Releases the lease; if the call fails, the lease expires.
    pub(super) async fn release(&mut self) {
        if let Some(lease) = self.lease.take() {
            drop(self.store.revoke_lease(lease).await);
        }
    }

    /// Creates the holder's key, or returns `None` when another daemon's key exists.
    async fn write_holder(&self, lease: LeaseId) -> Result<Option<StoreRevision>, StoreError> {
        let record = HolderRecord {
            holder: self.holder.clone(),
            lease: lease.number(),
        };
        let value = serde_json::to_string(&record)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let write = SwapWrite {
            expected: None,
            key: self.key.clone(),
            lease: Some(lease),
            value: Some(value),
        };
        match self.store.swap(&write).await {
            SwapOutcome::Applied(revision) => Ok(Some(revision)),
            SwapOutcome::Conflict(_) => Ok(None),
            SwapOutcome::Failed(error) => Err(error),
            SwapOutcome::Unknown(_) => {
                let held = self.store.get(&self.key).await?;
                let own = held.filter(|held| Some(&held.value) == write.value.as_ref());
                Ok(own.map(|own| own.revision))
            }
        }
    }
}
