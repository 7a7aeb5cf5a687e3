use {
    super::{ChangeLog, ChangeLogError, FeedBatch},
    crate::ProcessClock,
    poplargap_store::{StoreRevision, WatchBatch},
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
    log: Mutex<ChangeLog>,
    /// Wakes the readers of the log after each change of it.
    updates: watch::Sender<()>,
}

impl ChangeShare {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Self {
            clock,
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

    /// Returns the changes after a revision; if there are none, waits for some.
    ///
    /// The wait ends early when the last read of the store is `age_max` ago.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon doesn't keep these changes.
    pub(super) async fn wait_since(
        &self,
        after: StoreRevision,
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
