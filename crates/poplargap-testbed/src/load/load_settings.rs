//! Settings of a load.

use {
    super::WorkspaceLoad,
    std::{net::SocketAddr, num::NonZeroUsize, time::Duration},
};

/// Rates, shapes and targets of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Timeout of each call, including its complete answer.
    pub call_timeout: Duration,
    /// Time between two engine restarts; `None` for no restarts.
    pub churn_interval: Option<Duration>,
    /// Addresses of the daemons.
    pub daemons: Vec<SocketAddr>,
    /// Calls of a service that isn't a model; `None` for no such calls.
    pub desk: Option<DeskLoadSettings>,
    /// Time during which calls are planned to start.
    pub duration: Duration,
    /// Addresses at which the engines report their requests in flight; if empty, the report has no
    /// skew.
    pub engines: Vec<SocketAddr>,
    /// Name of the model.
    pub model: String,
    /// Share of the pauses that are long.
    pub pause_long_share: f64,
    /// Mean of the long pauses between a chat's turns.
    pub pause_long: Duration,
    /// Mean of the short pauses between a chat's turns.
    pub pause_short: Duration,
    /// Chat turns per second, over all workspaces.
    pub rate: f64,
    /// Simulated engines of the reuse reference.
    pub reference: ReferenceSettings,
    /// Seed of the schedule.
    pub seed: u64,
    /// Surge of one workspace; `None` for no surge.
    pub surge: Option<SurgeWindow>,
    /// Mean number of turns of a chat.
    pub turns_mean: f64,
    /// Workspaces that send the load.
    pub workspaces: Vec<WorkspaceLoad>,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_mins(1),
            churn_interval: None,
            daemons: Vec::new(),
            desk: None,
            duration: Duration::from_mins(1),
            engines: Vec::new(),
            model: "curve".to_owned(),
            pause_long: Duration::from_mins(1),
            pause_long_share: 0.2,
            pause_short: Duration::from_secs(5),
            rate: 20.0,
            reference: ReferenceSettings::default(),
            seed: 1,
            surge: None,
            turns_mean: 6.0,
            workspaces: WorkspaceLoad::usual(),
        }
    }
}

/// Load of calls of a service that isn't a model.
#[derive(Clone, Debug)]
pub struct DeskLoadSettings {
    /// Addresses to call; when empty, the addresses of the daemons.
    pub addresses: Vec<SocketAddr>,
    /// Share of bookings, which must not be repeated, among the calls.
    pub booking_share: f64,
    /// Class of work of bookings, when the caller names one.
    pub booking_class: Option<String>,
    /// Class of work of lookups, when the caller names one.
    pub lookup_class: Option<String>,
    /// Calls per second, over all workspaces.
    pub rate: f64,
    /// Name of the service.
    pub service: String,
}

impl Default for DeskLoadSettings {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            booking_class: None,
            booking_share: 0.3,
            lookup_class: None,
            rate: 5.0,
            service: "desk".to_owned(),
        }
    }
}

/// Simulated engines of the reuse reference.
#[derive(Clone, Copy, Debug)]
pub struct ReferenceSettings {
    /// Number of tokens in a cache block.
    pub block_tokens: NonZeroUsize,
    /// Number of blocks that one engine's cache holds.
    pub cache_blocks: NonZeroUsize,
    /// Number of engines.
    pub engines: NonZeroUsize,
}

impl Default for ReferenceSettings {
    fn default() -> Self {
        Self {
            block_tokens: NonZeroUsize::new(16).expect("16 is not zero"),
            cache_blocks: NonZeroUsize::new(8192).expect("8192 is not zero"),
            engines: NonZeroUsize::new(18).expect("18 is not zero"),
        }
    }
}

/// Period in which one workspace starts chats at a higher rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurgeWindow {
    /// Factor by which the usual rate is multiplied.
    pub factor: f64,
    /// Start of the surge, from the load's start.
    pub from: Duration,
    /// Length of the surge.
    pub len: Duration,
    /// Index of the workspace.
    pub workspace: usize,
}

impl SurgeWindow {
    /// Returns whether the moment `seconds` after the load's start lies in the window.
    #[must_use]
    pub fn contains(&self, seconds: f64) -> bool {
        let from = self.from.as_secs_f64();
        (from..from + self.len.as_secs_f64()).contains(&seconds)
    }
}
