//! What was used in a sliding window.

use {
    crate::instant::MonotonicInstant,
    std::{collections::VecDeque, time::Duration},
};

/// Most parts into which a window is divided.
const SLICES_MAX: u32 = 64;

/// The part of a window that a use was counted in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageSlice(u64);

#[derive(Clone, Debug)]
struct WindowSlice {
    first: MonotonicInstant,
    last: MonotonicInstant,
    number: u64,
    units: u64,
}

/// Units used in a sliding window, never fewer than were used, in bounded memory.
///
/// Uses that lie close together are counted as if all were made at the latest of them.
#[derive(Clone, Debug)]
pub struct UsageWindow {
    slices: VecDeque<WindowSlice>,
    span: Duration,
    started: u64,
}

impl UsageWindow {
    /// Creates an empty window of length `span`.
    #[must_use]
    pub fn new(span: Duration) -> Self {
        Self {
            slices: VecDeque::new(),
            span,
            started: 0,
        }
    }

    /// Counts `units` used at `now`.
    pub fn record(&mut self, units: u64, now: MonotonicInstant) -> UsageSlice {
        self.forget_old(now);
        let slice_span = self.span / SLICES_MAX;
        if let Some(slice) = self.slices.back_mut()
            && now.since(slice.first) < slice_span
        {
            slice.last = slice.last.max(now);
            slice.units += units;
            return UsageSlice(slice.number);
        }
        let number = self.started;
        self.started += 1;
        self.slices.push_back(WindowSlice {
            first: now,
            last: now,
            number,
            units,
        });
        UsageSlice(number)
    }

    /// Takes back `units` that were counted in `slice` and not used.
    pub fn refund(&mut self, slice: UsageSlice, units: u64) {
        let slice = self.slices.iter_mut().find(|s| s.number == slice.0);
        if let Some(slice) = slice {
            slice.units = slice.units.saturating_sub(units);
        }
    }

    /// Returns the units used in the window that ends at `now`.
    pub fn total(&mut self, now: MonotonicInstant) -> u64 {
        self.forget_old(now);
        self.slices.iter().map(|slice| slice.units).sum()
    }

    fn forget_old(&mut self, now: MonotonicInstant) {
        let span = self.span;
        while self
            .slices
            .pop_front_if(|slice| slice.last + span <= now)
            .is_some()
        {}
    }
}
