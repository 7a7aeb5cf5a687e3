//! The recent changes of the store that a daemon keeps for others.

use {
    super::FeedPosition,
    crate::crash_board::{CRASHES_PREFIX, SOUND_PREFIX},
    displaydoc::Display,
    poplargap_core::{collections::HashSet, instant::MonotonicInstant},
    poplargap_store::{StoreEra, StoreRevision, WatchBatch, WatchChange},
    serde::{Deserialize, Serialize},
    std::{cmp::Ordering, collections::VecDeque, time::Duration},
};

/// Most changes that are kept.
const CHANGES_MAX: usize = 4_096;

/// Most bytes of keys and values that are kept.
const BYTES_MAX: usize = 2 * 1024 * 1024;

/// Longest value in bytes that is kept.
///
/// Configurations are longer: many daemons that send each version of them to all others would
/// fill slow links, on which the changes of registrations would then wait.
const VALUE_BYTES_MAX: usize = 4 * 1024;

/// Most bytes of evidence of crashes in one batch; the rest follows in the next ones.
///
/// A crash of many replicas leads to megabytes of reports. On the slow link of a daemon that sends them to
/// all others, the changes of registrations and configurations would wait for them.
const EVIDENCE_BYTES_MAX: usize = 16 * 1024;

/// The value that a change leads to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FeedValue {
    /// The value.
    Given(String),
    /// The value isn't sent and has to be read from the store.
    Omitted,
    /// The key was removed.
    Removed,
}

/// A change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedChange {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: StoreRevision,
    /// The value after the change.
    pub value: FeedValue,
}

impl FeedChange {
    /// Returns whether the change is one of the evidence of crashes, which may come later than others.
    fn is_evidence(&self) -> bool {
        self.key.starts_with(CRASHES_PREFIX) || self.key.starts_with(SOUND_PREFIX)
    }

    fn len(&self) -> usize {
        let value = match &self.value {
            FeedValue::Given(value) => value.len(),
            FeedValue::Omitted | FeedValue::Removed => 0,
        };
        self.key.len() + value
    }
}

impl From<&WatchChange> for FeedChange {
    fn from(change: &WatchChange) -> Self {
        let value = match &change.value {
            None => FeedValue::Removed,
            Some(value) if value.len() > VALUE_BYTES_MAX => FeedValue::Omitted,
            Some(value) => FeedValue::Given(value.clone()),
        };
        Self {
            key: change.key.clone(),
            revision: change.revision,
            value,
        }
    }
}

/// Changes of the store that one daemon sends to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedBatch {
    /// Whether the store couldn't be read before some of the changes; a registration that was
    /// removed meanwhile may be renewed.
    pub after_outage: bool,
    /// Time since the sender's last read of the store, in milliseconds.
    pub age_ms: u64,
    /// The last change of each key, sorted by revision.
    pub changes: Vec<FeedChange>,
    /// Revision up to which the batch is complete.
    pub revision: StoreRevision,
    /// Revision up to which it has all changes but evidence of crashes.
    pub urgent: StoreRevision,
}

impl FeedBatch {
    /// Returns up to where a daemon has the changes that applies the batch.
    #[must_use]
    pub fn position(&self) -> FeedPosition {
        FeedPosition {
            complete: self.revision,
            urgent: self.urgent,
        }
    }

    /// Returns the time since the sender's last read of the store.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms)
    }
}

/// Why changes can't be returned.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ChangeLogError {
    /// the changes after revision {0} are no longer kept
    Dropped(u64),
    /// the daemon doesn't read the store for others
    NotReading,
    /// the daemon reads era {0} of the store
    OtherEra(StoreEra),
}

impl std::error::Error for ChangeLogError {}

#[derive(Debug)]
struct LogSpan {
    /// Revision up to which the changes are complete.
    end: StoreRevision,
    /// Revision after the last outage of the store that the changes span.
    outage_end: Option<StoreRevision>,
    read_at: MonotonicInstant,
    /// Revision after which the changes are kept.
    start: StoreRevision,
}

/// The changes between two revisions without a gap, up to a bounded number and size.
#[derive(Debug, Default)]
pub struct ChangeLog {
    bytes: usize,
    changes: VecDeque<FeedChange>,
    span: Option<LogSpan>,
}

impl ChangeLog {
    /// Returns whether the log has been started.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.span.is_some()
    }

    /// Starts an empty log after `revision`, which was read at `now`.
    pub fn start(&mut self, revision: StoreRevision, now: MonotonicInstant) {
        self.stop();
        self.span = Some(LogSpan {
            end: revision,
            outage_end: None,
            read_at: now,
            start: revision,
        });
    }

    /// Empties the log until it is started again.
    pub fn stop(&mut self) {
        *self = Self::default();
    }

    /// Appends the next changes, which were read at `now`; the log must have been started.
    pub fn append(&mut self, batch: &WatchBatch, after_outage: bool, now: MonotonicInstant) {
        let Some(span) = &mut self.span else {
            return;
        };
        let end = span.end;
        if batch.revision.era() != end.era() {
            self.stop();
            return;
        }
        span.read_at = now;
        span.end = batch.revision.latest(end);
        if after_outage {
            span.outage_end = Some(span.end);
        }
        for change in &batch.changes {
            if change.revision.compare(end) == Ok(Ordering::Greater) {
                let change = FeedChange::from(change);
                self.bytes += change.len();
                self.changes.push_back(change);
            }
        }
        self.trim();
    }

    /// Returns the revision up to which the log has the changes; `None` if it isn't started.
    #[must_use]
    pub fn end(&self) -> Option<StoreRevision> {
        self.span.as_ref().map(|span| span.end)
    }

    /// Returns the changes after a position, as of `now`.
    ///
    /// Evidence of crashes is left to further batches once it takes too many bytes; the other changes are
    /// all there.
    ///
    /// # Errors
    ///
    /// Returns an error if the log isn't started, no longer has all of these changes, or is of another
    /// era of the store.
    pub fn since(
        &self,
        after: impl Into<FeedPosition>,
        now: MonotonicInstant,
    ) -> Result<FeedBatch, ChangeLogError> {
        let FeedPosition { complete, urgent } = after.into();
        let span = self.span.as_ref().ok_or(ChangeLogError::NotReading)?;
        match complete.compare(span.start) {
            Ok(Ordering::Less) => return Err(ChangeLogError::Dropped(complete.number())),
            Ok(_) => {}
            Err(_) => return Err(ChangeLogError::OtherEra(span.start.era())),
        }
        let first = self
            .changes
            .partition_point(|change| !is_after(change.revision, complete));
        let mut changes = self.last_changes(first);
        changes.retain(|change| change.is_evidence() || is_after(change.revision, urgent));
        let cut = evidence_cut(&changes);
        if let Some(cut) = cut {
            changes.retain(|change| !change.is_evidence() || !is_after(change.revision, cut));
        }
        let changes = changes.into_iter().cloned().collect();
        let age = now.since(span.read_at);
        Ok(FeedBatch {
            after_outage: span.outage_end.is_some_and(|end| is_after(end, urgent)),
            age_ms: age.as_millis().try_into().unwrap_or(u64::MAX),
            changes,
            revision: cut.unwrap_or(span.end),
            urgent: span.end,
        })
    }

    /// Returns the last change of each key among those from the index `first`.
    fn last_changes(&self, first: usize) -> Vec<&FeedChange> {
        let mut seen = HashSet::default();
        let newest = self.changes.range(first..).rev();
        let mut last: Vec<&FeedChange> = newest
            .filter(|change| seen.insert(change.key.as_str()))
            .collect();
        last.reverse();
        last
    }

    /// Drops the oldest changes beyond the limits.
    fn trim(&mut self) {
        while self.bytes > BYTES_MAX || self.changes.len() > CHANGES_MAX {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= oldest.len();
            if let Some(span) = &mut self.span {
                span.start = oldest.revision;
            }
        }
    }
}

/// Returns whether `revision` is later than `other` in the same era.
fn is_after(revision: StoreRevision, other: StoreRevision) -> bool {
    revision.compare(other) == Ok(Ordering::Greater)
}

/// Returns the revision before the first evidence that doesn't fit into a batch, if any doesn't.
///
/// Changes of one write have one revision and aren't separated, so that each batch has some.
fn evidence_cut(changes: &[&FeedChange]) -> Option<StoreRevision> {
    let mut bytes = 0;
    let mut last = None;
    for change in changes.iter().filter(|change| change.is_evidence()) {
        bytes += change.len();
        let is_first = last.is_none_or(|last| last == change.revision);
        if bytes > EVIDENCE_BYTES_MAX && !is_first {
            let (era, number) = (change.revision.era(), change.revision.number());
            return Some(StoreRevision::new(era, number.saturating_sub(1)));
        }
        last = Some(change.revision);
    }
    None
}
