//! Follows key prefixes in the store: lists them first, then watches for changes.

use {
    super::FeedContext,
    poplargap_core::forward::FeedState,
    poplargap_store::{KeyValueStore, StoreError, StoreRevision, StoredValue, WatchChange},
    rand::Rng,
    slog::{info, warn},
    std::time::Duration,
    tokio::time::sleep,
};

/// Shortest pause after a failed read.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);

/// Longest pause after a failed read.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// The result of one read of the store.
#[derive(Debug)]
pub(super) enum FeedUpdate {
    /// Changes since the last update.
    Changes(Vec<WatchChange>),
    /// All values; they replace all earlier ones.
    Listing(Vec<StoredValue>),
}

/// Reads the values under several key prefixes repeatedly.
#[derive(Debug)]
pub(super) struct StoreFollower<F, S> {
    after: Option<StoreRevision>,
    context: FeedContext<F, S>,
    prefixes: Vec<String>,
    state: FeedState,
    watched: String,
}

impl<F, S: KeyValueStore> StoreFollower<F, S> {
    pub(super) fn new(context: FeedContext<F, S>, prefixes: Vec<String>) -> Self {
        let watched = common_prefix(&prefixes).to_owned();
        Self {
            after: None,
            context,
            prefixes,
            watched,
            state: FeedState::default(),
        }
    }

    /// Reads once. It is cancel safe: a dropped read loses no changes.
    ///
    /// # Errors
    ///
    /// Returns an error if the read fails, after a pause if it failed early; the next call tries
    /// again.
    pub(super) async fn read(&mut self) -> Result<FeedUpdate, StoreError> {
        let began = self.context.clock.now();
        let read = match self.after {
            None => self.list().await,
            Some(after) => self.watch(after).await,
        };
        let outcome = if read.is_ok() { "read" } else { "failed" };
        self.context.metrics.record_store_read(outcome);
        let now = self.context.clock.now();
        match read {
            Ok(update) => {
                let outage = self.state.record_success(now);
                if let Some(outage) = outage {
                    info!(self.context.log, "store can be read again"; "watched" => &self.watched,
                        "away-ms" => crate::call_log::millis(outage));
                }
                Ok(update)
            }
            Err(error) => {
                self.fail(&error, now.since(began)).await;
                Err(error)
            }
        }
    }

    /// Records a failed read that took `time`, and waits for the rest of the retry pause.
    async fn fail(&mut self, error: &StoreError, time: Duration) {
        if matches!(error, StoreError::Compacted(_)) {
            info!(self.context.log, "store compacted the history; listing again"; "watched" => &self.watched);
            self.after = None;
            return;
        }
        if self.state.record_failure(self.context.clock.now()) {
            warn!(self.context.log, "store can't be read"; "watched" => &self.watched,
                "revision" => self.after.map(|after| after.0), "error" => %error);
        }
        let pause = rand::rng().random_range(RETRY_PAUSE_MIN..RETRY_PAUSE_MAX);
        sleep(pause.saturating_sub(time)).await;
    }

    /// Lists all prefixes; the watch then starts at the revision of the first page.
    async fn list(&mut self) -> Result<FeedUpdate, StoreError> {
        let mut values = Vec::new();
        let mut revision = None;
        for prefix in &self.prefixes {
            let mut after: Option<String> = None;
            loop {
                let page = self.context.store.list(prefix, after.as_deref()).await?;
                revision.get_or_insert(page.revision);
                values.extend(page.values);
                after = page.next;
                if after.is_none() {
                    break;
                }
            }
        }
        self.after = revision;
        Ok(FeedUpdate::Listing(values))
    }

    async fn watch(&mut self, after: StoreRevision) -> Result<FeedUpdate, StoreError> {
        let wait = self.context.settings.watch_wait;
        let batch = self.context.store.watch(&self.watched, after, wait).await?;
        self.after = Some(batch.revision.max(after));
        Ok(FeedUpdate::Changes(batch.changes))
    }
}

/// Returns the longest prefix that all of `prefixes` share.
fn common_prefix(prefixes: &[String]) -> &str {
    let Some((first, others)) = prefixes.split_first() else {
        return "";
    };
    let shared = |other: &String| {
        let pairs = first.char_indices().zip(other.chars());
        pairs
            .take_while(|((_, a), b)| a == b)
            .last()
            .map_or(0, |((start, a), _)| start + a.len_utf8())
    };
    let len = others.iter().map(shared).min().unwrap_or(first.len());
    &first[..len]
}
