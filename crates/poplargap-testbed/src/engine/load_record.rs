//! Load of an engine, exact and as reported late.

use {
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadRecord {
    /// Blocks in the prefix cache.
    pub cached_blocks: usize,
    /// Requests that run.
    pub running: usize,
    /// Most requests that run at once.
    pub slots: usize,
    /// Requests that wait.
    pub waiting: usize,
}

impl LoadRecord {
    /// Returns the requests that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running + self.waiting
    }

    /// Returns the value of the response header `x-engine-load`.
    #[must_use]
    pub fn header_value(&self) -> String {
        format!("{}/{}", self.running, self.waiting)
    }
}

/// Requests in flight now and at the highest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeakRecord {
    /// Requests in flight now.
    pub in_flight: usize,
    /// Most requests in flight since the last reset.
    pub peak: usize,
}

/// The loads of the last moments.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    /// Loads and when they began; the first is the one that is reported.
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

    /// Returns the load of one lag ago, or the first one.
    pub(super) fn reported(&mut self, now: Instant) -> LoadRecord {
        self.drop_old(now);
        self.records
            .front()
            .map_or_else(LoadRecord::default, |(_, record)| *record)
    }

    /// Keeps one record that is older than the lag.
    fn drop_old(&mut self, now: Instant) {
        while let Some((at, _)) = self.records.get(1)
            && *at + self.lag <= now
        {
            self.records.pop_front();
        }
    }
}
