//! The record of one call in progress.

use crate::{CallKind, CallOutcome, StoreCounters};

/// One call in progress; counted once when dropped.
#[derive(Debug)]
pub struct CallRecord {
    counters: StoreCounters,
    kind: CallKind,
    outcome: CallOutcome,
}

impl CallRecord {
    /// Starts a call's record.
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

    /// Ends the record with the call's outcome.
    pub fn finish(mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if self.kind == CallKind::Watch {
            self.counters.waiting_watches.dec();
        }
        self.counters.child(self.kind, self.outcome).inc();
    }
}
