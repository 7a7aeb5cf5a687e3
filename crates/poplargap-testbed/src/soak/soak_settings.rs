//! Settings of a soak.

use {
    crate::{engine::EngineSettings, site::SitePlan},
    std::time::Duration,
};

const CLASS_DEADLINE: Duration = Duration::from_secs(30);
const DAEMONS: usize = 6;
const DATA_CENTRES: [&str; 3] = ["ne1", "ne2", "ne3"];
const DESKS: usize = 3;
const ENGINES: usize = 9;
const WORKSPACES: usize = 6;

/// Duration, seed and log level of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Lowest level of the daemons' log lines.
    pub log_level: String,
    /// Time during which new calls and faults begin.
    pub duration: Duration,
    /// Seed of the load and of the schedule of faults.
    pub seed: u64,
}

impl SoakSettings {
    /// Returns the plan of the site on which the soak runs.
    pub(super) fn plan(&self) -> SitePlan {
        let mut plan = SitePlan::new(&DATA_CENTRES, DAEMONS, ENGINES, DESKS, WORKSPACES);
        plan.engine = EngineSettings {
            decode_base: Duration::from_millis(15),
            ..EngineSettings::default()
        };
        plan.log_level.clone_from(&self.log_level);
        plan.relays = true;
        let classes = plan
            .workspaces
            .iter_mut()
            .flat_map(|load| &mut load.classes);
        for class in classes {
            class.deadline = CLASS_DEADLINE;
        }
        plan
    }
}
