//! Resources that the daemons of one data centre use.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Resources that one daemon uses.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DaemonCost {
    /// Control traffic in bytes per second, keyed by `kind direction`.
    pub bytes: BTreeMap<String, f64>,
    /// Processor time as a percentage of one core.
    pub core_percent: f64,
    /// Total length of the names and labels of all metric series, in bytes.
    pub metrics_len: usize,
    /// Resident memory in megabytes of 10^6 bytes.
    pub resident_mb: f64,
}

impl DaemonCost {
    /// Returns the control traffic in one direction (`sent` or `received`), in bytes per second.
    #[must_use]
    pub fn bytes_in(&self, direction: &str) -> f64 {
        self.bytes
            .iter()
            .filter(|(series, _)| series.ends_with(direction))
            .map(|(_, bytes)| bytes)
            .sum()
    }
}

/// Resources that all daemons of a data centre use, and their calls to the store and the VM list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct FleetCost {
    /// Cost of each daemon, by the daemon's name.
    pub daemons: BTreeMap<String, DaemonCost>,
    /// Reads of the store and the VM list per second.
    pub store_reads: f64,
    /// Writes to the store per second, without the catalogue changes of the measurement itself.
    pub store_writes: f64,
    /// Duration of the measurement in seconds.
    pub window_s: f64,
}

impl FleetCost {
    /// Returns the maximum of `value` over the daemons, at least 0.
    pub fn max(&self, value: impl Fn(&DaemonCost) -> f64) -> f64 {
        self.daemons.values().map(value).fold(0.0, f64::max)
    }

    /// Returns the mean of `value` over the daemons, or 0 without daemons.
    pub fn mean(&self, value: impl Fn(&DaemonCost) -> f64) -> f64 {
        let sum: f64 = self.daemons.values().map(value).sum();
        sum / self.daemons.len().max(1) as f64
    }
}
