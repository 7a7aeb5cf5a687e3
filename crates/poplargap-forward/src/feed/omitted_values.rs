use {
    super::{FeedChange, FeedValue},
    poplargap_core::instant::MonotonicInstant,
    poplargap_store::WatchChange,
    std::{collections::BTreeSet, time::Duration},
};

/// Keys whose changed values have to be read from the store, since another daemon left them out.
///
/// Only the newest value of a key is read, and one value in each pause.
#[derive(Debug, Default)]
pub(super) struct OmittedValues {
    keys: BTreeSet<String>,
    next_read: Option<MonotonicInstant>,
}

impl OmittedValues {
    /// Keeps the keys of omitted values, and returns the other changes.
    pub(super) fn split(&mut self, changes: Vec<FeedChange>) -> Vec<WatchChange> {
        let mut given = Vec::with_capacity(changes.len());
        for FeedChange {
            key,
            revision,
            value,
        } in changes
        {
            let value = match value {
                FeedValue::Given(value) => Some(value),
                FeedValue::Removed => None,
                FeedValue::Omitted => {
                    self.keys.insert(key);
                    continue;
                }
            };
            self.keys.remove(&key);
            given.push(WatchChange {
                key,
                revision,
                value,
            });
        }
        given
    }

    /// Returns whether a value is to be read at `now`.
    pub(super) fn is_due(&self, now: MonotonicInstant) -> bool {
        !self.keys.is_empty() && self.next_read.is_none_or(|at| at <= now)
    }

    /// Returns `wait`, or the time until a value is to be read if that is shorter.
    pub(super) fn wait(&self, now: MonotonicInstant, wait: Duration) -> Duration {
        match self.next_read {
            Some(at) if !self.keys.is_empty() => wait.min(at.since(now)),
            _ => wait,
        }
    }

    /// Returns the key whose value is to be read next.
    pub(super) fn next(&self) -> Option<String> {
        self.keys.first().cloned()
    }

    /// Records that a value was read; the next one is read at `next` at the earliest.
    pub(super) fn finish(&mut self, key: &str, next: MonotonicInstant) {
        self.keys.remove(key);
        self.next_read = Some(next);
    }

    /// Defers the next read until `next`.
    pub(super) fn defer(&mut self, next: MonotonicInstant) {
        self.next_read = Some(next);
    }

    /// Removes the keys of changes that were read from the store.
    pub(super) fn remove(&mut self, changes: &[WatchChange]) {
        for change in changes {
            self.keys.remove(&change.key);
        }
    }

    /// Removes all keys after all values were listed.
    pub(super) fn clear(&mut self) {
        self.keys.clear();
    }
}
