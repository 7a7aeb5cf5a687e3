//! What a daemon's operators' listener answers.

use {
    crate::name::{DaemonName, DataCentre, RequestId},
    serde::{Deserialize, Serialize},
};

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatusReport {
    /// The daemon's name.
    pub daemon: DaemonName,
    /// The data centre that the daemon stands in.
    pub data_centre: DataCentre,
    /// Whether the daemon takes callers' requests.
    pub ready: bool,
    /// The store's revision whose catalogue is in force.
    pub revision: u64,
}

/// Answer of `GET /v1/explain/{id}`; status 404 when the daemon knows nothing of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestReport {
    /// The daemon's name.
    pub daemon: DaemonName,
    /// The request's name.
    pub request: RequestId,
    /// What the daemon did with the request, oldest first.
    pub steps: Vec<RequestStep>,
}

/// One decision about a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestStep {
    /// Time since the daemon accepted the request, in milliseconds.
    pub at_ms: u64,
    /// What was decided and why.
    pub decision: String,
    /// The filter that decided, such as `admit` or `place`.
    pub filter: String,
}
