use {
    super::{FeedChange, FeedValue},
    poplargap_core::instant::MonotonicInstant,
    poplargap_store::{StoreRevision, WatchChange},
    std::{cmp::Ordering, collections::BTreeMap, time::Duration},
};

/// Pause after a copy that was too old.
const STALE_PAUSE: Duration = Duration::from_millis(150);

/// A value that has to be read.
#[derive(Clone, Copy, Debug)]
struct OmittedValue {
    /// Time of the first read.
    first_read: Option<MonotonicInstant>,
    /// Revision of the change.
    revision: StoreRevision,
}

/// Keys whose changed values have to be read from the store, since another daemon left them out.
///
/// Only the newest value of a key is read, and one value in each pause.
#[derive(Debug, Default)]
pub(super) struct OmittedValues {
    keys: BTreeMap<String, OmittedValue>,
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
                    let known = self.keys.get(&key);
                    let first_read = known.and_then(|value| value.first_read);
                    let value = OmittedValue {
                        first_read,
                        revision,
                    };
                    self.keys.insert(key, value);
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

    /// Returns the key whose value is to be read next, and whether a copy that may be old is to be read
    /// first, which is so for `stale_time` from the first read on.
    ///
    /// All daemons of a data centre read a changed configuration; an old copy costs the store little,
    /// and mostly it is the changed one soon.
    pub(super) fn next(
        &mut self,
        now: MonotonicInstant,
        stale_time: Duration,
    ) -> Option<(String, bool)> {
        let (key, value) = self.keys.iter_mut().next()?;
        let first_read = *value.first_read.get_or_insert(now);
        Some((key.clone(), now.since(first_read) < stale_time))
    }

    /// Returns whether a copy of `revision` is of another era than, or older than, the change of `key`; if it is, the next read
    /// is a little later.
    pub(super) fn defer_stale(
        &mut self,
        key: &str,
        revision: Option<StoreRevision>,
        now: MonotonicInstant,
    ) -> bool {
        let value = self.keys.get(key);
        let is_older = |read: StoreRevision, changed: StoreRevision| {
            !matches!(
                read.compare(changed),
                Ok(Ordering::Equal | Ordering::Greater)
            )
        };
        let is_stale =
            value.is_some_and(|value| revision.is_none_or(|read| is_older(read, value.revision)));
        if is_stale {
            self.next_read = Some(now + STALE_PAUSE);
        }
        is_stale
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
