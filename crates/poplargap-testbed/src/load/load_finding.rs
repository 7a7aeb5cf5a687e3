//! Errors in the settings of a load.

use {
    super::LoadSettings,
    displaydoc::Display,
    std::fmt::{self, Formatter},
};

/// One error in the settings of a load.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum LoadFinding {
    /// the workspace `{workspace}` has no class with a positive share
    NoClass {
        /// Name of the workspace.
        workspace: String,
    },
    /// the load needs the address of one daemon at least
    NoDaemon,
    /// the load needs one workspace with a positive weight at least
    NoWorkspace,
    /// the number {value} of `{setting}` is out of range
    Range {
        /// Name of the setting.
        setting: &'static str,
        /// Value of the setting.
        value: f64,
    },
    /// the surge names workspace {workspace}, and there are {count}
    SurgeWorkspace {
        /// Number of workspaces.
        count: usize,
        /// Index of the workspace.
        workspace: usize,
    },
}

/// All errors in the settings of a load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadFindings(pub Vec<LoadFinding>);

impl fmt::Display for LoadFindings {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "; " };
            write!(f, "{separator}{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for LoadFindings {}

impl LoadFindings {
    /// Collects all errors in `settings`.
    #[must_use]
    pub fn of_settings(settings: &LoadSettings) -> Self {
        let mut findings = Vec::new();
        if settings.daemons.is_empty() {
            findings.push(LoadFinding::NoDaemon);
        }
        if !settings.workspaces.iter().any(|load| load.weight > 0.0) {
            findings.push(LoadFinding::NoWorkspace);
        }
        for load in &settings.workspaces {
            if !load.classes.iter().any(|class| class.share > 0.0) {
                let workspace = load.name.clone();
                findings.push(LoadFinding::NoClass { workspace });
            }
        }
        let count = settings.workspaces.len();
        if let Some(surge) = settings.surge
            && surge.workspace >= count
        {
            let workspace = surge.workspace;
            findings.push(LoadFinding::SurgeWorkspace { count, workspace });
        }
        findings.extend(out_of_range(settings));
        Self(findings)
    }
}

fn out_of_range(settings: &LoadSettings) -> impl Iterator<Item = LoadFinding> {
    let desk = settings.desk.as_ref();
    let surge_factor = settings.surge.map_or(1.0, |surge| surge.factor);
    let booking_share = desk.map_or(0.0, |desk| desk.booking_share);
    let desk_rate = desk.map_or(0.0, |desk| desk.rate);
    let single_settings = [
        ("booking_share", booking_share, 0.0..=1.0),
        ("desk rate", desk_rate, 0.0..=f64::MAX),
        ("pause_long_share", settings.pause_long_share, 0.0..=1.0),
        ("rate", settings.rate, 0.0..=f64::MAX),
        ("surge factor", surge_factor, 1.0..=f64::MAX),
        ("turns_mean", settings.turns_mean, 1.0..=f64::MAX),
    ];
    let weights = settings
        .workspaces
        .iter()
        .map(|load| ("weight", load.weight, 0.0..=f64::MAX));
    let shares = settings
        .workspaces
        .iter()
        .flat_map(|load| &load.classes)
        .map(|class| ("share", class.share, 0.0..=f64::MAX));
    single_settings
        .into_iter()
        .chain(weights)
        .chain(shares)
        .filter(|(_, value, range)| !range.contains(value))
        .map(|(setting, value, _)| LoadFinding::Range { setting, value })
}
