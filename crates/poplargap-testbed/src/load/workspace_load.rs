//! Workspaces that send load.

use {
    super::WorkProfile,
    serde::{Deserialize, Serialize},
    std::fmt::{self, Debug, Formatter},
};

/// Workspaces of a usual load.
const WORKSPACE_COUNT: u32 = 10;

/// Workspaces of a usual load that are large.
const LARGE_COUNT: u32 = 3;

/// Weight of a large workspace against a small one.
const LARGE_WEIGHT: f64 = 10.0;

/// One workspace and its part of the load.
#[derive(Clone, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct WorkspaceLoad {
    /// Classes of work that its chats belong to.
    pub classes: Vec<ClassLoad>,
    /// Bearer key.
    pub key: String,
    /// Name of the workspace.
    pub name: String,
    /// Size against the other workspaces.
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

/// One class of work and its part of a workspace's chats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClassLoad {
    /// Time that callers are ready to wait, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Name of the class.
    pub name: String,
    /// Kind of the chats.
    pub profile: WorkProfile,
    /// Part of the workspace's chats against its other classes.
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
    /// Returns ten workspaces, a few of them large, named `w0` to `w9` with keys `key-w0` to `key-w9`.
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
                weight: if number < LARGE_COUNT {
                    LARGE_WEIGHT / f64::from(number + 1)
                } else {
                    1.0
                },
            })
            .collect()
    }
}
