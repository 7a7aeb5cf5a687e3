//! What a daemon answers operators.

use {
    crate::envelope::RefusalReason,
    poplargap_core::{
        membership::MemberState,
        name::{DaemonName, DataCentre, RequestId, UpstreamName},
    },
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Steps kept of one request.
const STEPS_MAX: usize = 32;

/// A daemon's answer to `GET /v1/status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatusReport {
    /// The daemon's name.
    pub daemon: DaemonName,
    /// The daemon's data centre.
    pub data_centre: DataCentre,
    /// Ready daemons of the data centre, as this daemon sees them.
    pub members_ready: Vec<DaemonName>,
    /// Callers' requests in flight.
    pub requests_in_flight: usize,
    /// Revision of the catalogue in force.
    pub revision: u64,
    /// What the daemon says of itself.
    pub state: MemberState,
}

/// A daemon's answer to `GET /v1/explain/{id}`: the steps of one request.
///
/// The status is 404 when the daemon knows nothing of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestTrace {
    /// The request's id.
    pub id: RequestId,
    /// Its steps in order.
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

    /// Adds a step, unless the request has too many already.
    pub fn note(&mut self, step: TraceStep) {
        if self.steps.len() < STEPS_MAX {
            self.steps.push(step);
        }
    }
}

/// One step of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum TraceStep {
    /// The request was identified.
    Identified {
        /// The class of work.
        class: String,
    },
    /// An upstream took the request.
    Placed {
        /// The shard's name.
        shard: String,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A home refused the request.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// The shard's name.
        shard: String,
    },
    /// The answer goes on from this event at another upstream or home.
    Resumed {
        /// Index of the first missing event.
        index: u64,
    },
    /// The request ended.
    Settled {
        /// How.
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
