use {
    poplargap_core::forward::PeerEntry,
    poplargap_store::{KeyValueStore, LeaseId, StoreError, StoredValue, SwapOutcome, SwapWrite},
    rand::Rng,
    serde::{Deserialize, Serialize},
    slog::{Logger, info, warn},
    std::{convert::Infallible, time::Duration},
    tokio::time::sleep,
};

/// Prefix of the keys under which daemons announce themselves.
pub const PEERS_PREFIX: &str = "daemons/";

/// Time after which the announcement of a daemon that is gone vanishes.
///
/// It is long, so that a daemon that starts anew finds its own and writes nothing: each change
/// wakes all the others.
const LEASE_TTL: Duration = Duration::from_mins(5);

/// Pause between two renewals.
const RENEWAL_PAUSE: Duration = Duration::from_mins(1);

/// Longest pause before the first announcement, so that a fleet's start is spread.
const START_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Shortest pause after a call that failed.
const RETRY_PAUSE_MIN: Duration = Duration::from_secs(1);

/// Longest pause after a call that failed.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(4);

/// A daemon's entry with the lease that it hangs on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeasedEntry {
    /// The entry.
    pub entry: PeerEntry,
    /// Its lease, which the daemon takes over when it starts anew.
    pub lease: LeaseId,
}

/// Keeps a daemon's entry in the store; it vanishes a while after the last renewal.
///
/// An entry that the store lost is written anew.
pub async fn announce<S: KeyValueStore>(store: S, entry: PeerEntry, log: Logger) {
    sleep(random_pause(Duration::ZERO, START_PAUSE_MAX)).await;
    loop {
        let Err(problem) = maintain_entry(&store, &entry, &log).await;
        info!(log, "announcement ended; announcing again"; "error" => %problem);
        sleep(random_pause(RETRY_PAUSE_MIN, RETRY_PAUSE_MAX)).await;
    }
}

/// Finds or writes the entry and renews its lease until that has ended.
async fn maintain_entry<S: KeyValueStore>(
    store: &S,
    entry: &PeerEntry,
    log: &Logger,
) -> Result<Infallible, StoreError> {
    let key = format!("{PEERS_PREFIX}{}", entry.address);
    let stored = store.get(&key).await?;
    if let Some(lease) = own_lease(stored.as_ref(), entry) {
        info!(log, "existing announcement reused"; "key" => &key, "lease" => lease.0);
        store.renew_lease(lease).await?;
        return renew(store, lease, log).await;
    }
    let lease = store.grant_lease(LEASE_TTL).await?.id;
    let leased = LeasedEntry {
        entry: entry.clone(),
        lease,
    };
    let value = serde_json::to_string(&leased);
    let write = SwapWrite {
        expected: stored.map(|stored| stored.revision),
        key,
        lease: Some(lease),
        value: Some(value.map_err(|error| StoreError::Malformed(error.to_string()))?),
    };
    match store.swap(&write).await {
        SwapOutcome::Applied(revision) => {
            info!(log, "daemon announced"; "key" => &write.key, "revision" => revision.0);
        }
        SwapOutcome::Conflict(_) => return Err(StoreError::Refused(412)),
        SwapOutcome::Unknown(error) | SwapOutcome::Failed(error) => return Err(error),
    }
    renew(store, lease, log).await
}

/// Returns the lease of a stored entry that is still right.
fn own_lease(stored: Option<&StoredValue>, entry: &PeerEntry) -> Option<LeaseId> {
    let leased: LeasedEntry = serde_json::from_str(&stored?.value).ok()?;
    (leased.entry == *entry).then_some(leased.lease)
}

/// Renews a lease until it has ended.
async fn renew<S: KeyValueStore>(
    store: &S,
    lease: LeaseId,
    log: &Logger,
) -> Result<Infallible, StoreError> {
    let mut pause = RENEWAL_PAUSE;
    loop {
        sleep(pause).await;
        pause = match store.renew_lease(lease).await {
            Ok(()) => RENEWAL_PAUSE,
            Err(error @ StoreError::NoLease) => return Err(error),
            Err(error) => {
                warn!(log, "announcement can't be renewed; trying again"; "lease" => lease.0, "error" => %error);
                random_pause(RETRY_PAUSE_MIN, RETRY_PAUSE_MAX)
            }
        };
    }
}

fn random_pause(min: Duration, max: Duration) -> Duration {
    rand::rng().random_range(min..max)
}
