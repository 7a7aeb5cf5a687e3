//! What the daemons of one data centre spend.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// What one daemon spends.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DaemonCost {
    /// Control bytes a second by kind and direction.
    pub bytes: BTreeMap<String, f64>,
    /// Share of one core, in percent.
    pub core_percent: f64,
    /// Bytes of one answer with all metrics.
    pub metrics_len: usize,
    /// Resident memory in megabytes of 10^6 bytes.
    pub resident_mb: f64,
}

impl DaemonCost {
    /// Returns the control bytes a second in one direction.
    #[must_use]
    pub fn bytes_in(&self, direction: &str) -> f64 {
        self.bytes
            .iter()
            .filter(|(series, _)| series.ends_with(direction))
            .map(|(_, bytes)| bytes)
            .sum()
    }
}

/// What all daemons of a data centre spend, and the store's calls for them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct FleetCost {
    /// Each daemon, by name.
    pub daemons: BTreeMap<String, DaemonCost>,
    /// Reads of store and VM list a second.
    pub store_reads: f64,
    /// Writes to the store a second.
    pub store_writes: f64,
    /// Length of the measurement in seconds.
    pub window_s: f64,
}

impl FleetCost {
    /// Returns the highest value over the daemons.
    pub fn max(&self, value: impl Fn(&DaemonCost) -> f64) -> f64 {
        self.daemons.values().map(value).fold(0.0, f64::max)
    }

    /// Returns the mean value over the daemons.
    pub fn mean(&self, value: impl Fn(&DaemonCost) -> f64) -> f64 {
        let sum: f64 = self.daemons.values().map(value).sum();
        sum / self.daemons.len().max(1) as f64
    }
}
