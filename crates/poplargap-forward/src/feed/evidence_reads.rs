//! Lists the evidence of crashes beside the reads of the changes.

use {
    super::{
        FeedContext,
        feed_read::{FeedRead, FeedUpdate},
        store_listing::list_prefixes,
    },
    poplargap_store::{KeyValueStore, StoreRevision, StoredValue},
    rand::Rng,
    slog::{Logger, info, warn},
    std::{future::pending, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Shortest pause after a failed listing.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(500);

/// Longest pause after a failed listing.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Lists the evidence of crashes after a listing that left it out.
#[derive(Debug)]
pub(super) struct EvidenceReads<F, S> {
    context: FeedContext<F, S>,
    prefixes: Vec<String>,
    running: JoinSet<Vec<StoredValue>>,
}

impl<F, S: KeyValueStore> EvidenceReads<F, S> {
    pub(super) fn new(context: FeedContext<F, S>, prefixes: Vec<String>) -> Self {
        Self {
            context,
            prefixes,
            running: JoinSet::new(),
        }
    }

    /// Takes over a read of the changes, after which the daemon is at `position`.
    ///
    /// A new listing ends that of the evidence, which begins anew if the listing left it out.
    pub(super) fn apply(&mut self, read: &FeedRead, position: Option<StoreRevision>) {
        let FeedUpdate::Listing(listing) = &read.update else {
            return;
        };
        self.running = JoinSet::new();
        let Some(begun) = position.filter(|_| listing.defers_evidence) else {
            return;
        };
        let log = self.context.log.clone();
        let store = self.context.store.clone();
        let prefixes = self.prefixes.clone();
        self.running.spawn(list(store, prefixes, begun, log));
    }

    /// Waits for the evidence; it is cancel safe.
    pub(super) async fn next(&mut self) -> Vec<StoredValue> {
        match self.running.join_next().await {
            Some(Ok(values)) => values,
            Some(Err(_)) | None => pending().await,
        }
    }
}

async fn list<S: KeyValueStore>(
    store: S,
    prefixes: Vec<String>,
    begun: StoreRevision,
    log: Logger,
) -> Vec<StoredValue> {
    loop {
        let error = match list_prefixes(&store, &prefixes, begun).await {
            Ok(values) => {
                info!(log, "evidence of crashes listed"; "values" => values.len());
                return values;
            }
            Err(error) => error,
        };
        let pause = rand::rng().random_range(RETRY_PAUSE_MIN..RETRY_PAUSE_MAX);
        warn!(log, "evidence of crashes can't be listed; trying again"; "error" => %error,
            "retry-ms" => crate::call_log::millis(pause));
        sleep(pause).await;
    }
}
