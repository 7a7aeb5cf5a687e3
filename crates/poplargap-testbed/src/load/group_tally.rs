//! Counts and histograms of one group of calls.

use {
    super::{CallRecord, GroupReport, LatencyReport, ReuseCount},
    crate::caller::{CallVerdict, RanState},
    hdrhistogram::Histogram,
    std::time::Duration,
};

/// Longest time that a histogram records, in microseconds; longer times are recorded as this one.
const HISTOGRAM_MAX_US: u64 = 600_000_000;

/// Significant digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

const MICROS_PER_MS: f64 = 1000.0;

/// Counts and histograms of one group of calls.
#[derive(Debug)]
pub(super) struct GroupTally {
    first_token: Histogram<u64>,
    report: GroupReport,
    reuse: ReuseCount,
    token_gap: Histogram<u64>,
}

impl GroupTally {
    pub(super) fn new(name: String) -> Self {
        Self {
            first_token: histogram(),
            report: GroupReport {
                name,
                ..GroupReport::default()
            },
            reuse: ReuseCount::default(),
            token_gap: histogram(),
        }
    }

    /// Counts a call; adds its times and cache reuse when its answer is complete.
    pub(super) fn push(&mut self, record: &CallRecord) {
        self.push_count(record);
        if record.verdict.is_complete() {
            self.push_times(record);
        }
    }

    /// Counts a call without its times and cache reuse.
    pub(super) fn push_count(&mut self, record: &CallRecord) {
        let report = &mut self.report;
        report.count += 1;
        report.resent += u64::from(record.sends > 1);
        match &record.verdict {
            CallVerdict::Broken { .. } => report.broken += 1,
            CallVerdict::Complete => report.complete += 1,
            CallVerdict::Foreign { .. } => report.foreign += 1,
            CallVerdict::Refused(refusal) => match refusal.ran {
                RanState::NotRun => report.refused_not_run += 1,
                RanState::Ran => report.refused_ran += 1,
                RanState::Unknown => report.refused_unknown += 1,
            },
            CallVerdict::Unreachable { .. } => report.unreachable += 1,
        }
    }

    fn push_times(&mut self, record: &CallRecord) {
        if let Some(time) = record.time_to_first_token {
            self.first_token.saturating_record(micros(time));
        }
        for gap in &record.token_gaps {
            self.token_gap.saturating_record(micros(*gap));
        }
        if let Some(reuse) = record.reuse {
            self.reuse += reuse;
        }
    }

    pub(super) fn into_report(self, reference: Option<&ReuseCount>) -> GroupReport {
        GroupReport {
            first_token: latency(&self.first_token),
            reference_reuse: reference.and_then(ReuseCount::ratio),
            reuse: self.reuse.ratio(),
            token_gap: latency(&self.token_gap),
            ..self.report
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are in order")
}

fn latency(histogram: &Histogram<u64>) -> Option<LatencyReport> {
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
    (!histogram.is_empty()).then(|| LatencyReport {
        p50_ms: quantile_ms(0.5),
        p95_ms: quantile_ms(0.95),
        p99_ms: quantile_ms(0.99),
    })
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(HISTOGRAM_MAX_US)
}
