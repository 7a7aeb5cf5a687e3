use {
    super::{ChangeLog, ChangeLogError, FeedBatch, FeedPosition},
    crate::ProcessClock,
    poplargap_store::{StoreEra, StoreRevision, WatchBatch},
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, timeout_at},
    },
};

/// The changes that a daemon which reads the store keeps for the others of its data centre.
#[derive(Debug)]
pub(crate) struct ChangeShare {
    clock: ProcessClock,
    /// The newest era of the store of which another daemon has spoken.
    hinted: watch::Sender<StoreEra>,
    log: Mutex<ChangeLog>,
    /// Wakes the readers of the log after each change of it.
    updates: watch::Sender<()>,
}

impl ChangeShare {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Self {
            clock,
            hinted: watch::Sender::new(StoreEra::default()),
            log: Mutex::default(),
            updates: watch::Sender::new(()),
        }
    }

    /// Starts the log after `revision` if it isn't started.
    pub(super) fn ensure_started(&self, revision: StoreRevision) {
        let mut log = self.log();
        if !log.is_started() {
            log.start(revision, self.clock.now());
        }
    }

    /// Returns the era of the log, or the first one if it isn't started.
    pub(super) fn era(&self) -> StoreEra {
        let end = self.log().end();
        end.map_or_else(StoreEra::default, StoreRevision::era)
    }

    /// Returns whether the log isn't started or ends before the number of a revision.
    pub(super) fn ends_before(&self, number: u64) -> bool {
        let end = self.log().end();
        end.is_none_or(|end| end.number() < number)
    }

    /// Records that another daemon follows a later era; the daemon then reads the store itself.
    pub(super) fn hint(&self, era: StoreEra) {
        self.hinted.send_if_modified(|hinted| {
            let is_newer = *hinted < era;
            *hinted = (*hinted).max(era);
            is_newer
        });
    }

    /// Returns a watch of the eras of which other daemons have spoken.
    pub(super) fn hints(&self) -> watch::Receiver<StoreEra> {
        self.hinted.subscribe()
    }

    /// Stops the log; requests for its changes are refused.
    pub(super) fn stop(&self) {
        let mut log = self.log();
        if log.is_started() {
            log.stop();
            self.updates.send_replace(());
        }
    }

    /// Appends changes that were just read.
    pub(super) fn append(&self, batch: &WatchBatch, after_outage: bool) {
        self.log().append(batch, after_outage, self.clock.now());
        if !batch.changes.is_empty() {
            self.updates.send_replace(());
        }
    }

    /// Returns the changes after a position; if there are none, waits for some.
    ///
    /// The wait ends early when the last read of the store is `age_max` ago.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon doesn't keep these changes.
    pub(super) async fn wait_since(
        &self,
        after: FeedPosition,
        wait: Duration,
        age_max: Duration,
    ) -> Result<FeedBatch, ChangeLogError> {
        let mut updates = self.updates.subscribe();
        let end = Instant::now() + wait;
        loop {
            updates.borrow_and_update();
            let batch = self.log().since(after, self.clock.now())?;
            let now = Instant::now();
            let fresh_until = now + age_max.saturating_sub(batch.age());
            let end = end.min(fresh_until);
            if !batch.changes.is_empty() || end <= now {
                return Ok(batch);
            }
            if !matches!(timeout_at(end, updates.changed()).await, Ok(Ok(()))) {
                return self.log().since(after, self.clock.now());
            }
        }
    }

    fn log(&self) -> MutexGuard<'_, ChangeLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
