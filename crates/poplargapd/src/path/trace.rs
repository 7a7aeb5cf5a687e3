//! The last requests' steps, for operators' questions.

use {
    poplargap_core::name::{RequestId, UpstreamName},
    poplargap_link::envelope::RefusalReason,
    serde::Serialize,
    std::{
        collections::VecDeque,
        sync::{Mutex, PoisonError},
    },
};

/// Requests whose traces are kept.
const TRACES_MAX: usize = 1_024;

/// Steps kept of one request.
const STEPS_MAX: usize = 32;

/// One step of a request.
#[derive(Clone, Debug, Serialize)]
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

/// The steps of one request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RequestTrace {
    /// The request's id.
    pub id: RequestId,
    /// Its steps in order.
    pub steps: Vec<TraceStep>,
}

/// The traces of the last requests.
#[derive(Debug, Default)]
pub struct TraceRing(Mutex<VecDeque<RequestTrace>>);

impl TraceRing {
    /// Adds a request that has ended.
    pub fn push(&self, trace: RequestTrace) {
        let mut traces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if traces.len() >= TRACES_MAX {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Returns the trace of request `id`, if it is still kept.
    #[must_use]
    pub fn find(&self, id: &RequestId) -> Option<RequestTrace> {
        let traces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        traces.iter().rev().find(|trace| trace.id == *id).cloned()
    }
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
