//! Usage in a sliding window.

use {
    crate::instant::MonotonicInstant,
    std::{collections::VecDeque, time::Duration},
};

/// Most slices of a window, which bounds the memory of a [`UsageWindow`].
const SLICES_MAX: u32 = 64;

/// The slice of a window in which a usage was counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageSlice(u64);

#[derive(Clone, Debug)]
struct WindowSlice {
    first: MonotonicInstant,
    last: MonotonicInstant,
    number: u64,
    units: u64,
}

/// Units used in a sliding window, in bounded memory; the count is never too low.
///
/// All usage in one slice counts as used at the time of the slice's latest usage.
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

    /// Counts `units` used at `now` and returns the slice for a later refund.
    pub fn record(&mut self, units: u64, now: MonotonicInstant) -> UsageSlice {
        self.drop_expired(now);
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

    /// Subtracts `units` that were counted in `slice` but not used.
    pub fn refund(&mut self, slice: UsageSlice, units: u64) {
        let slice = self.slices.iter_mut().find(|s| s.number == slice.0);
        if let Some(slice) = slice {
            slice.units = slice.units.saturating_sub(units);
        }
    }

    /// Returns the units used in the window that ends at `now`.
    pub fn total(&mut self, now: MonotonicInstant) -> u64 {
        self.drop_expired(now);
        self.slices.iter().map(|slice| slice.units).sum()
    }

    fn drop_expired(&mut self, now: MonotonicInstant) {
        let span = self.span;
        while self
            .slices
            .pop_front_if(|slice| slice.last + span <= now)
            .is_some()
        {}
    }
}
