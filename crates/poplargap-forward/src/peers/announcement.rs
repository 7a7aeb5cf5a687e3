use {
    poplargap_core::forward::PeerEntry,
    poplargap_store::{
        EraWatch, KeyValueStore, LeaseId, StoreEra, StoreError, StoredValue, SwapOutcome, SwapWrite,
    },
    rand::Rng,
    serde::{Deserialize, Serialize},
    slog::{Logger, info, warn},
    std::{convert::Infallible, time::Duration},
    tokio::time::sleep,
};

/// Prefix of the keys under which daemons announce themselves.
pub const PEERS_PREFIX: &str = "daemons/";

/// Time to live of an announcement without renewals.
///
/// It is long, so that a restarted daemon finds its announcement and writes nothing: each change
/// wakes the watches of all daemons.
const LEASE_TTL: Duration = Duration::from_mins(5);

/// Pause between two renewals of the lease.
const RENEWAL_PAUSE: Duration = Duration::from_mins(1);

/// Longest random pause before the first announcement, which spreads the start of a fleet.
const START_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Shortest pause after a failed call.
const RETRY_PAUSE_MIN: Duration = Duration::from_secs(1);

/// Longest pause after a failed call.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(4);

/// A daemon's entry in the store, with its lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeasedEntry {
    /// The entry.
    pub entry: PeerEntry,
    /// Number of the era of the store in which the lease was granted; 0 for a store without eras.
    #[serde(default, skip_serializing_if = "is_first_era")]
    pub era: u64,
    /// Number of the lease of the entry, which a restarted daemon takes over.
    pub lease: u64,
}

impl LeasedEntry {
    /// Creates the entry that is bound to a lease.
    #[must_use]
    pub fn new(entry: PeerEntry, lease: LeaseId) -> Self {
        Self {
            entry,
            era: lease.era().number(),
            lease: lease.number(),
        }
    }

    /// Returns the lease.
    #[must_use]
    pub fn lease(&self) -> LeaseId {
        LeaseId::new(StoreEra::new(self.era), self.lease)
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_first_era(era: &u64) -> bool {
    *era == 0
}

/// Announces a daemon: writes its entry to the store and renews its lease.
///
/// An entry that was lost is written again, also when the store comes back from a copy: its lease is
/// gone then, even if the copy has the entry.
pub async fn announce<S: KeyValueStore>(store: S, entry: PeerEntry, log: Logger) {
    sleep(random_pause(Duration::ZERO, START_PAUSE_MAX)).await;
    loop {
        let Err(error) = maintain_entry(&store, &entry, &log).await;
        info!(log, "announcement ended; announcing again"; "error" => %error);
        sleep(random_pause(RETRY_PAUSE_MIN, RETRY_PAUSE_MAX)).await;
    }
}

/// Finds or writes the entry and renews its lease until the lease has ended.
async fn maintain_entry<S: KeyValueStore>(
    store: &S,
    entry: &PeerEntry,
    log: &Logger,
) -> Result<Infallible, StoreError> {
    let eras = store.eras().watch();
    let key = format!("{PEERS_PREFIX}{}", entry.address);
    let stored = store.get(&key).await?;
    if let Some(lease) = own_lease(stored.as_ref(), entry) {
        info!(log, "existing announcement reused"; "key" => &key, "lease" => lease.number());
        store.renew_lease(lease).await?;
        return renew(store, lease, eras, log).await;
    }
    let lease = store.grant_lease(LEASE_TTL).await?.id;
    let leased = LeasedEntry::new(entry.clone(), lease);
    let value = serde_json::to_string(&leased);
    let write = SwapWrite {
        expected: stored.map(|stored| stored.revision),
        key,
        lease: Some(lease),
        value: Some(value.map_err(|error| StoreError::Malformed(error.to_string()))?),
    };
    match store.swap(&write).await {
        SwapOutcome::Applied(revision) => {
            info!(log, "daemon announced"; "key" => &write.key, "era" => revision.era().number(),
                "revision" => revision.number());
        }
        SwapOutcome::Conflict(_) => return Err(StoreError::Refused(412)),
        SwapOutcome::Unknown(error) | SwapOutcome::Failed(error) => return Err(error),
    }
    renew(store, lease, eras, log).await
}

/// Returns the lease of the stored entry if it equals the daemon's own entry.
///
/// A lease of an earlier era is gone, and its number may be that of another daemon's lease.
fn own_lease(stored: Option<&StoredValue>, entry: &PeerEntry) -> Option<LeaseId> {
    let stored = stored?;
    let leased: LeasedEntry = serde_json::from_str(&stored.value).ok()?;
    let lease = leased.lease();
    let is_own = leased.entry == *entry && lease.era() == stored.revision.era();
    is_own.then_some(lease)
}

/// Renews a lease until it has ended, or the store is in another era.
async fn renew<S: KeyValueStore>(
    store: &S,
    lease: LeaseId,
    mut eras: EraWatch,
    log: &Logger,
) -> Result<Infallible, StoreError> {
    let mut pause = RENEWAL_PAUSE;
    loop {
        tokio::select! {
            () = sleep(pause) => {}
            () = eras.changed() => {}
        }
        let current = store.eras().current();
        if lease.era() != current {
            return Err(StoreError::EraChanged {
                held: lease.era(),
                current,
            });
        }
        pause = match store.renew_lease(lease).await {
            Ok(()) => RENEWAL_PAUSE,
            Err(error @ StoreError::NoLease) => return Err(error),
            Err(error) => {
                warn!(log, "announcement can't be renewed; trying again"; "lease" => lease.number(), "error" => %error);
                random_pause(RETRY_PAUSE_MIN, RETRY_PAUSE_MAX)
            }
        };
    }
}

fn random_pause(min: Duration, max: Duration) -> Duration {
    rand::rng().random_range(min..max)
}
