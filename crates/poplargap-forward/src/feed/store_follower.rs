//! Follows key prefixes in the store: lists them first, then watches for changes.

use {
    super::{
        FeedContext, FeedPosition,
        era_guard::EraGuard,
        feed_read::{FeedListing, FeedRead, FeedUpdate},
        reader_clients::ReaderError,
        shared_reads::{FeedSharing, SharedReads},
        store_listing::{FeedPrefixes, ListedPart, StoreListing},
    },
    poplargap_core::forward::{FeedState, ReadSource},
    poplargap_store::{
        KeyValueStore, StoreEra, StoreError, StoreRevision, StoredValue, WatchBatch,
    },
    rand::Rng,
    slog::{info, warn},
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// Shortest pause after a failed read.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);

/// Longest pause after a failed read.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// Pause after a read from another daemon, which paces its answers itself.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Bytes of values in an answer of the store after which the next read follows at once.
///
/// An answer holds every version of the configuration since the one before. On a slow link it may
/// take longer than the pause; with a further pause the next one would be as long, and changes of
/// registrations would wait for both.
const LONG_ANSWER_BYTES: usize = 32 * 1024;

/// Longest random pause before all values are listed in a new era, which spreads the load of a fleet
/// whose daemons notice the era at the same moment.
const RELIST_PAUSE_MAX: Duration = Duration::from_millis(250);

/// Reads the values under the common prefix of several keys repeatedly.
#[derive(Debug)]
pub(super) struct StoreFollower<F, S> {
    after: Option<FeedPosition>,
    context: FeedContext<F, S>,
    guard: EraGuard,
    listing: StoreListing,
    pause: Duration,
    sharing: Option<SharedReads>,
    state: FeedState,
    watched: String,
}

impl<F, S: KeyValueStore> StoreFollower<F, S> {
    pub(super) fn new(
        context: FeedContext<F, S>,
        prefixes: FeedPrefixes,
        sharing: Option<FeedSharing>,
    ) -> Self {
        let watched = prefixes.common().to_owned();
        let shared = context.settings.shared;
        let hints = sharing.as_ref().map(|sharing| sharing.share.hints());
        Self {
            guard: EraGuard::new(context.store.eras(), hints),
            after: None,
            listing: StoreListing::new(prefixes),
            pause: Duration::ZERO,
            context,
            sharing: sharing.map(|sharing| SharedReads::new(sharing, shared)),
            state: FeedState::default(),
            watched,
        }
    }

    /// Returns the revision up to which the daemon has all changes; `None` before a listing.
    pub(super) fn position(&self) -> Option<StoreRevision> {
        self.after.map(|after| after.complete)
    }

    /// Returns the era of what was listed last.
    pub(super) fn era(&self) -> StoreEra {
        self.guard.listed()
    }

    /// Reads once, after the pause that follows the last read. It is cancel safe: a dropped read loses no
    /// changes.
    ///
    /// A read ends as soon as any call shows that the store is in another era, and all values are
    /// listed again.
    ///
    /// # Errors
    ///
    /// Returns an error if the read fails, after a pause if it failed early; the next call tries
    /// again.
    pub(super) async fn read(&mut self) -> Result<FeedRead, StoreError> {
        sleep(self.pause).await;
        loop {
            if self.after.is_some() && self.guard.is_past() {
                self.forget_position();
                let pause = rand::rng().random_range(Duration::ZERO..RELIST_PAUSE_MAX);
                sleep(pause).await;
            }
            let signal = self.guard.signal();
            tokio::select! {
                biased;
                read = self.read_once() => return read,
                () = signal.changed() => {}
            }
        }
    }

    /// Ends all reads that are based on what was listed.
    fn forget_position(&mut self) {
        self.after = None;
        self.listing.reset();
        if let Some(sharing) = &self.sharing {
            sharing.share.stop();
        }
    }

    async fn read_once(&mut self) -> Result<FeedRead, StoreError> {
        let settings = self.context.settings;
        self.pause = settings.pause;
        let Some(after) = self.after else {
            return self.read_store(None).await;
        };
        match self.source(after.complete) {
            ReadSource::Daemon(reader) => {
                self.pause = POLL_PAUSE;
                match self.poll(reader, after).await {
                    Ok(read) => Ok(read),
                    Err(ReaderError::OtherEra(era)) if era > after.complete.era() => {
                        self.follow_reader(reader, era).await
                    }
                    Err(error) => {
                        let mut read = self
                            .read_store(Some((after.complete, Duration::ZERO)))
                            .await;
                        if let Ok(read) = &mut read {
                            read.after_outage |= matches!(error, ReaderError::Aged(_));
                        }
                        read
                    }
                }
            }
            ReadSource::Store => {
                let wait = self.store_wait(settings.watch_wait);
                self.read_store(Some((after.complete, wait))).await
            }
            ReadSource::StoreForOthers => {
                self.pause = settings.shared.read_pause;
                let wait = self.store_wait(settings.shared.watch_wait);
                self.read_store(Some((after.complete, wait))).await
            }
        }
    }

    /// Lists all values after a reader spoke of a later era.
    async fn follow_reader(
        &mut self,
        reader: SocketAddr,
        era: StoreEra,
    ) -> Result<FeedRead, StoreError> {
        self.forget_position();
        let read = self.read_store(None).await?;
        if self.after.is_some()
            && self.guard.listed() < era
            && let Some(sharing) = &mut self.sharing
        {
            // The store doesn't confirm it; without a pause each poll would lead to a listing.
            let now = self.context.clock.now();
            sharing.record_failure(reader, &ReaderError::OtherEra(era), now, &self.context.log);
        }
        Ok(read)
    }

    fn source(&mut self, after: StoreRevision) -> ReadSource {
        let now = self.context.clock.now();
        let sharing = self.sharing.as_mut();
        sharing.map_or(ReadSource::Store, |sharing| {
            sharing.source(after, now, &self.context.log)
        })
    }

    fn store_wait(&self, wait: Duration) -> Duration {
        let sharing = self.sharing.as_ref();
        sharing.map_or(wait, |sharing| sharing.store_wait(wait))
    }

    /// Reads the changes after a position from another daemon.
    async fn poll(
        &mut self,
        reader: SocketAddr,
        after: FeedPosition,
    ) -> Result<FeedRead, ReaderError> {
        let Some(sharing) = &mut self.sharing else {
            return Err(ReaderError::NotShared);
        };
        let wait = self.context.settings.shared.poll_wait;
        let polled = sharing.poll(reader, after, wait).await;
        let outcome = if polled.is_ok() {
            "polled"
        } else {
            "poll-failed"
        };
        self.context.metrics.store().record_read(outcome);
        match polled {
            Ok(batch) => {
                self.after = Some(batch.position().latest(after));
                Ok(FeedRead::from(batch))
            }
            Err(error) => {
                let is_ahead =
                    matches!(&error, ReaderError::OtherEra(era) if *era > after.complete.era());
                if !is_ahead {
                    let now = self.context.clock.now();
                    sharing.record_failure(reader, &error, now, &self.context.log);
                }
                Err(error)
            }
        }
    }

    /// Reads the changes after a revision from the store, or lists all values.
    async fn read_store(
        &mut self,
        watch: Option<(StoreRevision, Duration)>,
    ) -> Result<FeedRead, StoreError> {
        let began = self.context.clock.now();
        let read = match watch {
            None => self.list().await,
            Some((after, wait)) => self.watch(after, wait).await,
        };
        let outcome = if read.is_ok() { "read" } else { "failed" };
        self.context.metrics.store().record_read(outcome);
        if let Some(sharing) = &mut self.sharing {
            sharing.record_store_read(read.is_ok());
        }
        let now = self.context.clock.now();
        match read {
            Ok(read) => {
                let outage = self.state.record_success(now);
                if let Some(outage) = outage {
                    info!(self.context.log, "store can be read again"; "watched" => &self.watched,
                        "away-ms" => crate::call_log::millis(outage));
                }
                let after_outage = outage.is_some();
                Ok(self.share(read, after_outage))
            }
            Err(error) => {
                let took = now.since(began);
                // The next read begins a pause after this one began, not after it failed.
                self.pause = self.pause.saturating_sub(took).max(POLL_PAUSE);
                self.fail(&error, took).await;
                Err(error)
            }
        }
    }

    /// Records changes for other daemons, if this one reads the store for them.
    fn share(&mut self, read: StoreRead, after_outage: bool) -> FeedRead {
        if read.bytes() > LONG_ANSWER_BYTES {
            self.pause = POLL_PAUSE;
        }
        let share = self.sharing.as_ref().map(|sharing| &sharing.share);
        let update = match read {
            StoreRead::Changes(batch) => {
                if let Some(share) = share {
                    share.append(&batch, after_outage);
                }
                FeedUpdate::Changes(batch.changes)
            }
            StoreRead::Listing(listing) => {
                if let Some(share) = share {
                    share.stop();
                }
                FeedUpdate::Listing(listing)
            }
            StoreRead::Routes(routes) => {
                self.pause = Duration::ZERO;
                FeedUpdate::from(routes)
            }
        };
        FeedRead {
            after_outage,
            omitted: Vec::new(),
            update,
        }
    }

    /// Records a failed read that took `time`, and waits for the rest of the retry pause.
    async fn fail(&mut self, error: &StoreError, time: Duration) {
        if matches!(error, StoreError::Compacted(_)) {
            info!(self.context.log, "store compacted the history; listing again"; "watched" => &self.watched);
            self.after = None;
            return;
        }
        if let StoreError::EraChanged { held, current } = error {
            info!(self.context.log, "store is in another era; listing again"; "watched" => &self.watched,
                "held" => held.number(), "current" => current.number());
            self.forget_position();
            return;
        }
        if self.state.record_failure(self.context.clock.now()) {
            warn!(self.context.log, "store can't be read"; "watched" => &self.watched,
                "revision" => self.after.map(|after| after.complete.number()), "error" => %error);
        }
        let pause = rand::rng().random_range(RETRY_PAUSE_MIN..RETRY_PAUSE_MAX);
        sleep(pause.saturating_sub(time)).await;
    }

    /// Lists the next part of the values.
    async fn list(&mut self) -> Result<StoreRead, StoreError> {
        let has_replicas = self.guard.has_listed();
        let part = self.listing.next(&self.context.store, has_replicas).await?;
        let (revision, values, defers_evidence) = match part {
            ListedPart::All(revision, values) => (revision, values, false),
            ListedPart::Routes(routes) => return Ok(StoreRead::Routes(routes)),
            ListedPart::Urgent(revision, values) => (revision, values, true),
        };
        self.after = Some(revision.into());
        let era_change = self.guard.record_listing(revision.era());
        Ok(StoreRead::Listing(FeedListing {
            defers_evidence,
            era_change,
            values,
        }))
    }

    async fn watch(
        &mut self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<StoreRead, StoreError> {
        let batch = self.context.store.watch(&self.watched, after, wait).await?;
        self.after = Some(batch.revision.latest(after).into());
        Ok(StoreRead::Changes(batch))
    }
}

/// The content of one read of the store.
#[derive(Debug)]
enum StoreRead {
    Changes(WatchBatch),
    Listing(FeedListing),
    /// The routes, ahead of the listing of all values.
    Routes(StoredValue),
}

impl StoreRead {
    /// Returns the number of bytes of the changed values.
    fn bytes(&self) -> usize {
        match self {
            Self::Changes(batch) => {
                let values = batch
                    .changes
                    .iter()
                    .filter_map(|change| change.value.as_ref());
                values.map(String::len).sum()
            }
            Self::Listing(_) | Self::Routes(_) => 0,
        }
    }
}
