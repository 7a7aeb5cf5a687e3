//! Past changes that a watch can start from.

use {
    poplargap_store::{StoreRevision, WatchBatch, WatchChange},
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
    compacted: StoreRevision,
    revision: StoreRevision,
}

impl ChangeHistory {
    /// Returns the changes after a revision whose key starts with `prefix`.
    pub(super) fn after(
        &self,
        prefix: &str,
        after: StoreRevision,
    ) -> Result<WatchBatch, HistoryGone> {
        if after < self.compacted {
            return Err(HistoryGone);
        }
        let start = self
            .changes
            .partition_point(|change| change.revision <= after);
        let changes = self
            .changes
            .range(start..)
            .filter(|change| change.key.starts_with(prefix))
            .cloned()
            .collect();
        Ok(WatchBatch {
            changes,
            revision: self.revision.max(after),
        })
    }

    /// Discards all changes; watches from an earlier revision fail from now on.
    pub(super) fn compact(&mut self) {
        self.bytes = 0;
        self.changes.clear();
        self.compacted = self.revision;
    }

    /// Records a change and returns its revision; a `value` of `None` is a removal.
    pub(super) fn push(&mut self, key: &str, value: Option<&str>) -> StoreRevision {
        self.revision.0 += 1;
        let change = WatchChange {
            key: key.to_owned(),
            revision: self.revision,
            value: value.map(str::to_owned),
        };
        self.bytes += bytes_of(&change);
        self.changes.push_back(change);
        while self.bytes > HISTORY_BYTES_MAX || self.changes.len() > CHANGES_MAX {
            self.drop_oldest();
        }
        self.revision
    }

    pub(super) fn revision(&self) -> StoreRevision {
        self.revision
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.changes.pop_front() {
            self.bytes -= bytes_of(&oldest);
            self.compacted = oldest.revision;
        }
    }
}

fn bytes_of(change: &WatchChange) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, String::len)
}
