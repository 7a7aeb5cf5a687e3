//! The figures of one kind of fault.

use {
    super::{FaultWindow, SoakCall},
    crate::caller::CallVerdict,
    std::{collections::BTreeMap, time::Duration},
};

/// The figures of one kind of fault.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FaultTally {
    /// How often it was on.
    pub count: usize,
    /// Largest time between two tokens of a whole answer that met it.
    pub gap: Duration,
    /// Calls that met it.
    pub met: usize,
    /// Calls that met it and were not served, by outcome.
    pub unserved: BTreeMap<String, usize>,
}

impl FaultTally {
    /// Counts the calls that met any of the windows.
    pub(super) fn count(windows: &[&FaultWindow], calls: &[SoakCall]) -> Self {
        let mut tally = Self {
            count: windows.len(),
            ..Self::default()
        };
        let met = |call: &&SoakCall| {
            let mut windows = windows.iter();
            windows.any(|window| window.meets(call.began, call.ended, Duration::ZERO))
        };
        for call in calls.iter().filter(met) {
            tally.met += 1;
            if call.verdict == CallVerdict::Complete {
                tally.gap = tally.gap.max(call.gap.unwrap_or_default());
            } else if !call.is_replayed() {
                *tally.unserved.entry(call.outcome()).or_default() += 1;
            }
        }
        tally
    }
}
