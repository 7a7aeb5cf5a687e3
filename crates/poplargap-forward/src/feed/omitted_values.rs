use {
    super::value_kind::ValueKind,
    poplargap_core::instant::MonotonicInstant,
    poplargap_store::{StoreEra, StoreRevision},
    std::{cmp::Ordering, collections::BTreeMap, time::Duration},
};

/// Pause after a copy that was too old.
const STALE_PAUSE: Duration = Duration::from_millis(150);

/// A value that has to be read.
#[derive(Clone, Copy, Debug)]
struct OmittedValue {
    /// Time of the first read.
    first_read: Option<MonotonicInstant>,
    /// Number of the value in the order of arrival.
    number: u64,
    /// Revision of the change.
    revision: StoreRevision,
    /// Time of the first change that the daemon has not read.
    since: MonotonicInstant,
}

/// The values of one kind that have to be read, one after the other.
#[derive(Debug, Default)]
struct ReadQueue {
    /// Whether a value is being read.
    is_reading: bool,
    next_read: Option<MonotonicInstant>,
    values: BTreeMap<String, OmittedValue>,
}

impl ReadQueue {
    fn is_due(&self, now: MonotonicInstant) -> bool {
        !self.is_reading && !self.values.is_empty() && self.next_read.is_none_or(|at| at <= now)
    }

    /// Returns the value that arrived first.
    fn first(&mut self) -> Option<(&String, &mut OmittedValue)> {
        self.values.iter_mut().min_by_key(|(_, value)| value.number)
    }
}

/// The read of one value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValueRead {
    /// The value's key.
    pub key: String,
    /// What the value is about.
    pub kind: ValueKind,
    /// Whether a copy that may be old is read.
    pub may_be_stale: bool,
    /// Revision of the newest change when the read began.
    pub revision: StoreRevision,
}

/// What has become of a value after a read of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadVerdict {
    /// The value is as new as the change, which arrived this long ago.
    Current(Duration),
    /// The value is older than the change, or of another era, and is read again.
    Stale,
    /// The value needn't be read any more.
    Unneeded,
}

/// Keys whose changed values have to be read from the store, since another daemon left them out.
///
/// Only the newest value of a key is read. The values of a kind follow each other with a pause, which
/// bounds the calls to the store. They don't wait for those of another kind: a crash of many replicas
/// leads to hundreds of long reports, and a configuration has to take effect beside them.
#[derive(Debug, Default)]
pub struct OmittedValues {
    count: u64,
    queues: BTreeMap<ValueKind, ReadQueue>,
}

impl OmittedValues {
    /// Adds a value that was changed at `revision`.
    pub fn insert(
        &mut self,
        kind: ValueKind,
        key: String,
        revision: StoreRevision,
        now: MonotonicInstant,
    ) {
        self.count += 1;
        let queue = self.queues.entry(kind).or_default();
        let known = queue.values.get(&key);
        let value = OmittedValue {
            first_read: known.and_then(|value| value.first_read),
            number: known.map_or(self.count, |value| value.number),
            revision: known.map_or(revision, |value| value.revision.latest(revision)),
            since: known.map_or(now, |value| value.since),
        };
        queue.values.insert(key, value);
    }

    /// Returns the next read that is due, the most urgent kind first, and records that it begins.
    ///
    /// For `stale_time` from the first read of a value on, a copy that may be old is read. All daemons
    /// of a data centre read a changed configuration; an old copy costs the store little, and mostly it
    /// is the changed one soon.
    #[must_use]
    pub fn begin_read(&mut self, now: MonotonicInstant, stale_time: Duration) -> Option<ValueRead> {
        let mut queues = self.queues.iter_mut();
        let (kind, queue) = queues.find(|(_, queue)| queue.is_due(now))?;
        let (key, value) = queue.first()?;
        let first_read = *value.first_read.get_or_insert(now);
        let read = ValueRead {
            key: key.clone(),
            kind: *kind,
            may_be_stale: now.since(first_read) < stale_time,
            revision: value.revision,
        };
        queue.is_reading = true;
        Some(read)
    }

    /// Returns the time until a further read is due; `None` if none is waiting.
    #[must_use]
    pub fn wait(&self, now: MonotonicInstant) -> Option<Duration> {
        let waiting = self.queues.values();
        let waiting = waiting.filter(|queue| !queue.is_reading && !queue.values.is_empty());
        let waits = waiting.map(|queue| queue.next_read.map_or(Duration::ZERO, |at| at.since(now)));
        waits.min()
    }

    /// Records that a read found the value at `revision`, or found none in the era of the change; the
    /// next one of its kind is at `next` at the earliest, or a little later if the value is old.
    pub fn finish_read(
        &mut self,
        read: &ValueRead,
        revision: Option<StoreRevision>,
        now: MonotonicInstant,
        next: MonotonicInstant,
    ) -> ReadVerdict {
        let queue = self.queues.entry(read.kind).or_default();
        queue.is_reading = false;
        let Some(value) = queue.values.get(&read.key) else {
            return ReadVerdict::Unneeded;
        };
        let is_current = match revision {
            Some(revision) => matches!(
                revision.compare(value.revision),
                Ok(Ordering::Equal | Ordering::Greater)
            ),
            None => !read.may_be_stale && read.revision == value.revision,
        };
        if !is_current {
            queue.next_read = Some(now + STALE_PAUSE);
            return ReadVerdict::Stale;
        }
        let waited = now.since(value.since);
        queue.next_read = Some(next);
        queue.values.remove(&read.key);
        ReadVerdict::Current(waited)
    }

    /// Records that a read failed at `now`; returns the time until the next one of its kind.
    ///
    /// This is `retry` for what has to take effect in time, and `pause` longer for the rest: a store that
    /// refuses a call is asked for what is urgent.
    pub fn fail_read(
        &mut self,
        read: &ValueRead,
        now: MonotonicInstant,
        retry: Duration,
        pause: Duration,
    ) -> Duration {
        let wait = if read.kind.is_bounded() {
            retry
        } else {
            retry + pause
        };
        let queue = self.queues.entry(read.kind).or_default();
        queue.is_reading = false;
        queue.next_read = Some(now + wait);
        wait
    }

    /// Removes a value that was read otherwise.
    pub fn remove(&mut self, kind: ValueKind, key: &str) {
        if let Some(queue) = self.queues.get_mut(&kind) {
            queue.values.remove(key);
        }
    }

    /// Removes the values of other eras than `era`; the listing of that era has them, or they are gone.
    pub fn retain_era(&mut self, era: StoreEra) {
        for queue in self.queues.values_mut() {
            queue.values.retain(|_, value| value.revision.era() == era);
        }
    }

    /// Removes all values.
    pub fn clear(&mut self) {
        self.queues.clear();
    }
}
