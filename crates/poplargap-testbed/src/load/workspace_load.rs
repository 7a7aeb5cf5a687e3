//! Workspaces that send load.

use {
    super::WorkProfile,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Debug, Formatter},
};

/// Number of workspaces in the default load.
const WORKSPACE_COUNT: u32 = 10;

/// Number of large workspaces in the default load.
const LARGE_WORKSPACE_COUNT: u32 = 3;

/// Weight of the largest workspace relative to a small one; large workspace `i` has
/// 1/(i + 1) of it.
const LARGE_WEIGHT: f64 = 10.0;

/// One workspace and its share of the load.
#[derive(Clone, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkspaceLoad {
    /// Classes of work of the workspace's chats.
    pub classes: Vec<ClassLoad>,
    /// API key, which callers send as the bearer token.
    pub key: String,
    /// Name of the workspace.
    pub name: String,
    /// Weight of the workspace's load relative to the other workspaces.
    pub weight: f64,
}

impl Debug for WorkspaceLoad {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkspaceLoad")
            .field("classes", &self.classes)
            .field("name", &self.name)
            .field("weight", &self.weight)
            .finish_non_exhaustive()
    }
}

/// One class of work and its share of a workspace's chats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClassLoad {
    /// Deadline that callers send, in milliseconds; `None` for no deadline.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Name of the class.
    pub name: String,
    /// Kind of the chats.
    pub profile: WorkProfile,
    /// Weight of the class among the workspace's chats, relative to its other classes.
    pub share: f64,
}

impl ClassLoad {
    fn new(profile: WorkProfile, share: f64) -> Self {
        Self {
            deadline_ms: None,
            name: profile.to_string(),
            profile,
            share,
        }
    }
}

impl WorkspaceLoad {
    /// Returns the workspaces of the default load: three large and seven small ones.
    ///
    /// They are named `w0` to `w9` and have the keys `key-w0` to `key-w9`.
    #[must_use]
    pub fn usual() -> Vec<Self> {
        (0..WORKSPACE_COUNT)
            .map(|number| Self {
                classes: vec![
                    ClassLoad::new(WorkProfile::Check, 0.4),
                    ClassLoad::new(WorkProfile::Note, 0.4),
                    ClassLoad::new(WorkProfile::Report, 0.2),
                ],
                key: format!("key-w{number}"),
                name: format!("w{number}"),
                weight: if number < LARGE_WORKSPACE_COUNT {
                    LARGE_WEIGHT / f64::from(number + 1)
                } else {
                    1.0
                },
            })
            .collect()
    }
}
