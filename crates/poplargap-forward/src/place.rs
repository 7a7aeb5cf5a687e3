//! Filter: chooses the replica.

use {
    crate::{
        call_stage::{AdmittedCall, PlacementRecord},
        front_state::{FrontState, PlacedCall},
    },
    poplargap_core::forward::{
        ChoiceRequest, ReplicaId, ReplicaLoad, choose_replica, shared_tokens,
    },
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Chooses a replica that isn't in `excluded` and counts the request there.
///
/// With `prefers_local` a replica in the daemon's data centre is chosen if there is any.
pub(crate) fn place<D>(
    state: &Arc<FrontState<D>>,
    call: &AdmittedCall,
    excluded: &[ReplicaId],
    prefers_local: bool,
) -> Option<(PlacedCall<D>, PlacementRecord)> {
    let now = state.clock.now();
    let request = ChoiceRequest {
        data_centre: &state.settings.data_centre,
        excluded,
        key: call.placement_key,
        now,
        prefers_local,
        shared_tokens: shared_tokens(&call.received.head.prompt),
        request_hash: xxh3_64(call.received.head.id.as_bytes()),
    };
    let view = Arc::clone(&state.replicas.borrow());
    let replicas = view.replicas(&call.service);
    let (choice, placement) = {
        let mut tracker = state.tracker();
        if let Some(key) = call.placement_key {
            tracker.record_prompt(key, now);
        }
        let choice = choose_replica(replicas, &tracker, &request)?;
        let load = tracker.load(&choice.replica.id);
        let placement = PlacementRecord {
            candidates: replicas.len(),
            in_flight: load.map_or(0, ReplicaLoad::in_flight),
            mean: choice.mean,
            placed_by: choice.placed_by,
            rank: choice.rank,
            replica: Arc::clone(&choice.replica.id),
            report_age: load.and_then(|load| load.report_age(now)),
            report_source: load.and_then(ReplicaLoad::report_source),
            requests: choice.requests,
        };
        if let Some(key) = call.placement_key {
            tracker.record_cached(key, &choice.replica, now);
        }
        (choice, placement)
    };
    Some((PlacedCall::new(state, choice.replica), placement))
}
