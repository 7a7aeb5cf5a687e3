//! Size of a fleet that is measured.

use serde::{Deserialize, Serialize};

/// How much of everything a measured data centre has.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct FleetSize {
    /// Changes of the catalogue a second.
    pub changes_per_second: f64,
    /// Daemons of the data centre, all started.
    pub daemons: usize,
    /// Data centres of the fleet; only the first has daemons that run.
    pub data_centres: usize,
    /// Pools of the fleet.
    pub pools: usize,
    /// Upstreams of the fleet, spread evenly over the data centres.
    pub upstreams: usize,
    /// Workspaces, with three classes each.
    pub workspaces: usize,
}

impl FleetSize {
    /// A small fleet, of which measurements vary one number at a time.
    pub const SMALL: Self = Self {
        changes_per_second: 0.0,
        daemons: 2,
        data_centres: 1,
        pools: 1,
        upstreams: 100,
        workspaces: 100,
    };

    /// One data centre of the fleet's planned size.
    pub const PLANNED: Self = Self {
        changes_per_second: 0.33,
        daemons: 19,
        data_centres: 21,
        pools: 21,
        upstreams: 12_000,
        workspaces: 12_000,
    };
}
