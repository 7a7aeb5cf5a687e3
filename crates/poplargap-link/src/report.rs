//! Answers of a daemon to operators' requests.

use {
    crate::envelope::RefusalReason,
    poplargap_core::{
        membership::MemberState,
        name::{DaemonName, DataCentre, RequestId, UpstreamName},
    },
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Highest number of steps kept for one request.
const STEPS_MAX: usize = 32;

/// A daemon's answer to `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatusReport {
    /// The daemon's name.
    pub daemon: DaemonName,
    /// The daemon's data centre.
    pub data_centre: DataCentre,
    /// Ready daemons of the data centre, from the view of this daemon.
    pub members_ready: Vec<DaemonName>,
    /// Number of callers' requests in flight.
    pub requests_in_flight: usize,
    /// Revision of the catalogue in force.
    pub revision: u64,
    /// State of the daemon.
    pub state: MemberState,
}

/// A daemon's answer to `GET /v1/explain/{id}`: the steps of one request.
///
/// The HTTP status is 404 when the daemon has no record of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestTrace {
    /// The request's id.
    pub id: RequestId,
    /// The request's steps in order of time.
    pub steps: Vec<TraceStep>,
}

impl RequestTrace {
    /// Creates the trace of a request without steps.
    #[must_use]
    pub fn new(id: RequestId) -> Self {
        Self {
            id,
            steps: Vec::new(),
        }
    }

    /// Adds a step; steps beyond the limit are dropped.
    pub fn note(&mut self, step: TraceStep) {
        if self.steps.len() < STEPS_MAX {
            self.steps.push(step);
        }
    }
}

/// One step in the handling of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum TraceStep {
    /// The caller and the class of the request were identified.
    Identified {
        /// The class of the request.
        class: String,
    },
    /// The request was placed on an upstream.
    Placed {
        /// The shard's id.
        shard: String,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A shard owner refused the request.
    Refused {
        /// Why it was refused.
        reason: RefusalReason,
        /// The shard's id.
        shard: String,
    },
    /// The answer is resumed by another upstream or shard owner.
    Resumed {
        /// Index of the first missing event.
        index: u64,
    },
    /// The request ended.
    Settled {
        /// How it ended.
        outcome: String,
    },
}

impl Display for TraceStep {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Identified { class } => write!(f, "identified as class `{class}`"),
            Self::Placed { shard, upstream } => {
                write!(f, "placed on upstream `{upstream}` of shard `{shard}`")
            }
            Self::Refused { reason, shard } => {
                write!(f, "refused by the home of shard `{shard}`: {reason}")
            }
            Self::Resumed { index } => write!(f, "resumed from event {index}"),
            Self::Settled { outcome } => write!(f, "settled: {outcome}"),
        }
    }
}
