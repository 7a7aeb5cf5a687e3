//! Load of an engine, both current and as reported with a delay.

use {
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Load of an engine at one moment.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadRecord {
    /// Blocks held by the prefix cache.
    pub cached_blocks: usize,
    /// Running requests.
    pub running: usize,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Queued requests.
    pub waiting: usize,
}

impl LoadRecord {
    /// Returns the number of running and queued requests.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running + self.waiting
    }

    /// Returns the value of the response header `x-engine-load`, `RUNNING/WAITING`.
    #[must_use]
    pub fn header_value(&self) -> String {
        format!("{}/{}", self.running, self.waiting)
    }
}

/// Current and highest number of requests in flight.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeakRecord {
    /// Requests currently in flight.
    pub in_flight: usize,
    /// Highest number of requests in flight since the last reset.
    pub peak: usize,
}

/// Recent load changes, kept so that they can be reported with a delay.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    /// Loads with the time from which each applied, oldest first; the first is reported.
    records: VecDeque<(Instant, LoadRecord)>,
}

impl LoadHistory {
    pub(super) fn new(lag: Duration, record: LoadRecord, now: Instant) -> Self {
        Self {
            lag,
            records: VecDeque::from([(now, record)]),
        }
    }

    pub(super) fn push(&mut self, record: LoadRecord, now: Instant) {
        self.drop_old(now);
        if self.records.back().is_none_or(|(_, last)| *last != record) {
            self.records.push_back((now, record));
        }
    }

    /// Returns the load of one `lag` ago, or the initial one if there was none yet.
    pub(super) fn reported(&mut self, now: Instant) -> LoadRecord {
        self.drop_old(now);
        self.records
            .front()
            .map_or_else(LoadRecord::default, |(_, record)| *record)
    }

    /// Drops all records older than `lag` except the latest of them.
    fn drop_old(&mut self, now: Instant) {
        while let Some((at, _)) = self.records.get(1)
            && *at + self.lag <= now
        {
            self.records.pop_front();
        }
    }
}
