//! Reads the values that other daemons leave out of the changes they send.

use {
    super::{
        FeedContext,
        feed_read::{FeedRead, FeedUpdate, OmittedChange},
        omitted_values::{OmittedValues, ReadVerdict, ValueRead},
        value_kind::ValueKind,
    },
    crate::FeedDialect,
    poplargap_core::instant::MonotonicInstant,
    poplargap_store::{KeyValueStore, StoreError, StoreRevision, StoredValue, WatchChange},
    rand::Rng,
    slog::{info, warn},
    std::{future::pending, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Shortest pause after a failed read of an urgent value.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);

/// Longest pause after a failed read of an urgent value.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// A read that has ended.
#[derive(Debug)]
struct EndedRead {
    read: ValueRead,
    stored: Result<Option<StoredValue>, StoreError>,
}

/// Reads omitted values one at a time for each kind, beside the reads of the changes.
///
/// A long value on a slow link, or a store that doesn't answer, delays neither the changes that other
/// daemons send nor the values of another kind.
#[derive(Debug)]
pub(super) struct OmittedReads<F, S> {
    context: FeedContext<F, S>,
    running: JoinSet<EndedRead>,
    values: OmittedValues,
}

impl<F: FeedDialect, S: KeyValueStore> OmittedReads<F, S> {
    pub(super) fn new(context: FeedContext<F, S>) -> Self {
        Self {
            context,
            running: JoinSet::new(),
            values: OmittedValues::default(),
        }
    }

    /// Takes over what a read of the changes left out, and drops what it contained.
    pub(super) fn apply(&mut self, read: &FeedRead) {
        match &read.update {
            FeedUpdate::Changes(changes) => {
                for change in changes {
                    let kind = ValueKind::of(&self.context.dialect, &change.key);
                    self.values.remove(kind, &change.key);
                }
            }
            FeedUpdate::Listing(_) => {
                self.values.clear();
                self.running = JoinSet::new();
            }
            FeedUpdate::Evidence(_) | FeedUpdate::Value(_) => {}
        }
        let now = self.context.clock.now();
        for OmittedChange { key, revision } in &read.omitted {
            let kind = ValueKind::of(&self.context.dialect, key);
            self.values.insert(kind, key.clone(), *revision, now);
        }
    }

    /// Waits for the next value; it is cancel safe.
    pub(super) async fn next(&mut self) -> WatchChange {
        loop {
            let now = self.context.clock.now();
            self.begin_reads(now);
            let wait = self.values.wait(now);
            let due = async {
                match wait {
                    Some(wait) => sleep(wait).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                Some(Ok(ended)) = self.running.join_next() => {
                    if let Some(change) = self.finish(ended) {
                        return change;
                    }
                }
                () = due => {}
            }
        }
    }

    fn begin_reads(&mut self, now: MonotonicInstant) {
        self.values.retain_era(self.context.store.eras().current());
        let stale_time = self.context.settings.shared.stale_time;
        while let Some(read) = self.values.begin_read(now, stale_time) {
            let store = self.context.store.clone();
            self.running.spawn(async move {
                let stored = if read.may_be_stale {
                    store.get_stale(&read.key).await
                } else {
                    store.get(&read.key).await
                };
                EndedRead { read, stored }
            });
        }
    }

    /// Records the result of a read; returns the value if it is as new as the change.
    fn finish(&mut self, ended: EndedRead) -> Option<WatchChange> {
        let EndedRead { read, stored } = ended;
        let outcome = match (&stored, read.may_be_stale) {
            (Ok(_), false) => "read",
            (Ok(_), true) => "read-stale",
            (Err(_), _) => "failed",
        };
        self.context.metrics.store().record_read(outcome);
        let now = self.context.clock.now();
        let stored = match stored {
            Ok(stored) => stored,
            Err(error) => {
                self.retry(&read, &error, now);
                return None;
            }
        };
        // In another era, a missing value may only not have been written again.
        let (held, current) = (read.revision.era(), self.context.store.eras().current());
        if stored.is_none() && held != current {
            self.retry(&read, &StoreError::EraChanged { held, current }, now);
            return None;
        }
        let revision = stored.as_ref().map(|stored| stored.revision);
        let next = now + self.context.settings.pause;
        let verdict = self.values.finish_read(&read, revision, now, next);
        let ReadVerdict::Current(waited) = verdict else {
            return None;
        };
        let kind: &'static str = read.kind.into();
        info!(self.context.log, "value that another daemon left out was read";
            "key" => &read.key, "kind" => kind, "copy" => read.may_be_stale,
            "revision" => revision.map(StoreRevision::number),
            "waited-ms" => crate::call_log::millis(waited));
        Some(WatchChange {
            key: read.key,
            revision: revision.unwrap_or(read.revision),
            value: stored.map(|stored| stored.value),
        })
    }

    fn retry(&mut self, read: &ValueRead, error: &StoreError, now: MonotonicInstant) {
        let retry = rand::rng().random_range(RETRY_PAUSE_MIN..RETRY_PAUSE_MAX);
        let pause = self.context.settings.pause;
        let pause = self.values.fail_read(read, now, retry, pause);
        warn!(self.context.log, "value can't be read from the store; trying again";
            "key" => &read.key, "error" => %error, "retry-ms" => crate::call_log::millis(pause));
    }
}
