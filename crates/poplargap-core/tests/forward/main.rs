//! Tests of routes, replica choice, retries and shutdown.

mod attempts;
mod budget;
mod cached_replicas;
mod choice;
mod close;
mod cold_gate;
mod cold_start;
mod crash_evidence;
mod crash_order;
mod crash_schedules;
mod events;
mod intake;
mod leaving_centres;
mod loop_lag;
mod places;
mod prompt_source;
mod readers;
mod registry;
mod repeated_parts;
mod routes;
mod scarce_room;
mod sharing;
mod stream_watch;

use {
    poplargap_core::{
        forward::{PromptPart, ReplicaEntry, ReplicaState, RequestContent, RequestIdentity},
        instant::MonotonicInstant,
        store_position::{StoreEra, StoreRevision},
    },
    std::{sync::Arc, time::Duration},
};

/// Returns the instant `ms` milliseconds after the start.
fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant::from_start(Duration::from_millis(ms))
}

/// Returns a revision of the store's first era.
fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::default(), number)
}

/// Returns a ready replica of the service `model`.
fn replica(number: usize, data_centre: &str) -> ReplicaEntry {
    ReplicaEntry {
        address: ([127, 0, 0, 1], 9_000).into(),
        cold_until: None,
        started_ms: 1,
        data_centre: data_centre.into(),
        id: format!("replica-{number}").into(),
        sequence: 1,
        service: "model".into(),
        slots: 64,
        state: ReplicaState::Ready,
    }
}

/// Returns `count` ready replicas, alternating between two data centres.
fn replicas(count: usize) -> Vec<Arc<ReplicaEntry>> {
    (0..count)
        .map(|number| Arc::new(replica(number, if number % 2 == 0 { "ne1" } else { "ne2" })))
        .collect()
}

/// What the requests of tests without a prompt are recognised by.
const CONTENT: RequestContent<'_> = RequestContent {
    body: b"two valves",
    method: "POST",
    target: "/once/",
};

/// Returns the identity of a request whose prompt has these parts.
fn identity(parts: &[u64]) -> RequestIdentity {
    let parts: Vec<PromptPart> = parts
        .iter()
        .map(|hash| PromptPart {
            hash: *hash,
            tokens: 100,
        })
        .collect();
    RequestIdentity::new(&parts, CONTENT)
}
