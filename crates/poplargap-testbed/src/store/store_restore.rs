use serde::{Deserialize, Serialize};

/// What happens to the store while it comes back from its copy, before it answers any call.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct RestorePlan {
    /// Writes of the operator and the replicas.
    pub writes: Vec<RestoredWrite>,
}

/// A write after a copy was put back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RestoredWrite {
    /// The key.
    pub key: String,
    /// The value; `None` removes the key.
    pub value: Option<String>,
}
