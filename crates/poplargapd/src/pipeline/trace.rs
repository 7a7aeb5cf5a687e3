//! Traces of the last requests, which operators can query.

use {
    poplargap_core::name::RequestId,
    poplargap_link::report::RequestTrace,
    std::{
        collections::VecDeque,
        sync::{Mutex, PoisonError},
    },
};

/// Number of requests whose traces are kept.
const TRACES_MAX: usize = 1_024;

/// Ring buffer with the traces of the last requests.
#[derive(Debug, Default)]
pub struct TraceRing(Mutex<VecDeque<RequestTrace>>);

impl TraceRing {
    /// Adds the trace of a request that has ended, in place of the oldest when the ring is full.
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
