//! Past changes that a watch can start from.

use {
    poplargap_store::{StoreEra, StoreRevision, WatchBatch, WatchChange},
    std::collections::VecDeque,
};

const HISTORY_BYTES_MAX: usize = 64 * 1024 * 1024;
const CHANGES_MAX: usize = 16 * 1024;

/// Error of a watch whose start revision is older than the last discarded change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct HistoryGone;

/// The most recent changes, in the order of their revisions.
#[derive(Debug, Default)]
pub(super) struct ChangeHistory {
    bytes: usize,
    changes: VecDeque<WatchChange>,
    /// Number of the revision up to which the changes are discarded.
    compacted: u64,
    era: StoreEra,
    /// Number of the last revision.
    last: u64,
}

impl ChangeHistory {
    /// Returns the changes after a revision whose key starts with `prefix`.
    ///
    /// Callers send the number alone, so one of an earlier era may name a revision of this one.
    pub(super) fn after(&self, prefix: &str, after: u64) -> Result<WatchBatch, HistoryGone> {
        if after < self.compacted || after > self.last {
            return Err(HistoryGone);
        }
        let start = self
            .changes
            .partition_point(|change| change.revision.number() <= after);
        let changes = self
            .changes
            .range(start..)
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect();
        Ok(WatchBatch {
            changes,
            revision: self.revision(),
        })
    }

    /// Discards all changes; watches from an earlier revision fail from now on.
    pub(super) fn compact(&mut self) {
        self.bytes = 0;
        self.changes.clear();
        self.compacted = self.last;
    }

    /// Begins a new era after a revision, without the changes before it.
    pub(super) fn restart(&mut self, revision: u64) {
        *self = Self {
            compacted: revision,
            era: self.era.next(),
            last: revision,
            ..Self::default()
        };
    }

    /// Records a change and returns its revision; a `value` of `None` is a removal.
    pub(super) fn push(&mut self, key: &str, value: Option<&str>) -> StoreRevision {
        self.last += 1;
        let change = WatchChange {
            key: key.to_owned(),
            revision: self.revision(),
            value: value.map(str::to_owned),
        };
        self.bytes += bytes_of(&change);
        self.changes.push_back(change);
        while self.bytes > HISTORY_BYTES_MAX || self.changes.len() > CHANGES_MAX {
            self.drop_oldest();
        }
        self.revision()
    }

    pub(super) fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.last)
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.changes.pop_front() {
            self.bytes -= bytes_of(&oldest);
            self.compacted = oldest.revision.number();
        }
    }
}

fn bytes_of(change: &WatchChange) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, String::len)
}
