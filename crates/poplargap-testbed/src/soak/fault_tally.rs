//! Figures of one kind of fault.

use {
    super::{FaultWindow, SoakCall},
    crate::caller::CallVerdict,
    std::{collections::BTreeMap, time::Duration},
};

/// Figures of one kind of fault in a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FaultTally {
    /// Number of times that the fault occurred.
    pub count: usize,
    /// Longest time between two tokens of a complete answer during the fault.
    pub gap: Duration,
    /// Number of calls during the fault.
    pub affected: usize,
    /// Number of calls during the fault that were not served, by outcome.
    pub unserved: BTreeMap<String, usize>,
}

impl FaultTally {
    /// Counts the calls that overlap any of the windows.
    pub(super) fn count(windows: &[&FaultWindow], calls: &[SoakCall]) -> Self {
        let mut tally = Self {
            count: windows.len(),
            ..Self::default()
        };
        let affected = |call: &&SoakCall| {
            let mut windows = windows.iter();
            windows.any(|window| window.overlaps(call.began, call.ended, Duration::ZERO))
        };
        for call in calls.iter().filter(affected) {
            tally.affected += 1;
            if call.verdict == CallVerdict::Complete {
                tally.gap = tally.gap.max(call.gap.unwrap_or_default());
            } else if !call.is_replayed() {
                *tally.unserved.entry(call.outcome()).or_default() += 1;
            }
        }
        tally
    }
}
