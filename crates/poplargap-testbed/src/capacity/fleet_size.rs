//! Size of a measured fleet.

use serde::{Deserialize, Serialize};

/// Numbers of a measured fleet's parts, and its rate of catalogue changes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct FleetSize {
    /// Catalogue changes per second.
    pub changes_per_second: f64,
    /// Daemons per data centre.
    pub daemons: usize,
    /// Data centres of the fleet; daemon processes run only in the first.
    pub data_centres: usize,
    /// Model pools of the fleet.
    pub pools: usize,
    /// Upstreams of the fleet, spread evenly over the data centres.
    pub upstreams: usize,
    /// Workspaces, with three classes each.
    pub workspaces: usize,
}

impl FleetSize {
    /// A small fleet, the base of the measurement series, which vary one or two of its numbers.
    pub const SMALL: Self = Self {
        changes_per_second: 0.0,
        daemons: 2,
        data_centres: 1,
        pools: 1,
        upstreams: 100,
        workspaces: 100,
    };

    /// The planned fleet, of which one data centre runs.
    pub const PLANNED: Self = Self {
        changes_per_second: 0.33,
        daemons: 19,
        data_centres: 21,
        pools: 21,
        upstreams: 12_000,
        workspaces: 12_000,
    };
}
