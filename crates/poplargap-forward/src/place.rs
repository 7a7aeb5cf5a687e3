//! Filter: chooses the replica.

use {
    crate::{
        call_stage::{AdmittedCall, PlacementRecord},
        front_state::{FrontState, PlacedCall},
    },
    poplargap_core::forward::{
        ChoiceRequest, ReplicaId, ReplicaLoad, SourceRequest, choose_replica, choose_source,
        shared_tokens,
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
        drain: state.settings.drain,
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
        let source = call.placement_key.and_then(|key| {
            let request = SourceRequest {
                chosen: &choice.replica,
                key,
                now,
                view: &view,
            };
            choose_source(&tracker, &request)
        });
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
            source,
        };
        if let Some(key) = call.placement_key {
            tracker.record_cached(key, &choice.replica, now);
        }
        (choice, placement)
    };
    let source = placement.source.as_ref().map(|source| {
        let basis: &'static str = source.basis.into();
        state.metrics.record_prompt_source(&call.service, basis);
        source.replica.address
    });
    Some((PlacedCall::new(state, choice.replica, source), placement))
}
