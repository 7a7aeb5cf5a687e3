//! Accounting of one call in progress.

use crate::{CallKind, CallOutcome, StoreCounters};

/// A call in progress; it is counted once, when this is dropped.
///
/// Without [`CallRecord::finish`] it counts as [`CallOutcome::Abandoned`].
#[derive(Debug)]
pub struct CallRecord {
    counters: StoreCounters,
    kind: CallKind,
    outcome: CallOutcome,
}

impl CallRecord {
    /// Starts the record of a call; a watch counts as waiting from now on.
    #[must_use]
    pub fn new(counters: &StoreCounters, kind: CallKind) -> Self {
        if kind == CallKind::Watch {
            counters.waiting_watches.inc();
        }
        Self {
            counters: counters.clone(),
            kind,
            outcome: CallOutcome::Abandoned,
        }
    }

    /// Counts the call with its outcome.
    pub fn finish(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if self.kind == CallKind::Watch {
            self.counters.waiting_watches.dec();
        }
        self.counters.counter(self.kind, self.outcome).inc();
    }
}
