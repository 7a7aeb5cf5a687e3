//! Filter: chooses the replica.

use {
    crate::{
        call_stage::{AdmittedCall, PlacementRecord},
        front_state::{FrontState, PlacedCall},
    },
    poplargap_core::forward::{
        ChoiceRequest, ColdLimit, FleetPlace, PlaceFilter, ReplicaEntry, ReplicaId, ReplicaLoad,
        ReplicaTracker, SourceRequest, choose_replica, choose_source, shared_tokens,
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
    let request_hash = xxh3_64(call.received.head.id.as_bytes());
    let evacuations = Arc::clone(&state.evacuations.borrow());
    let workspace = call.grant.workspace.as_ref();
    let places = PlaceFilter {
        evacuations: Some(&evacuations),
        point: call.placement_key.unwrap_or(request_hash),
        regions: Some(&state.settings.places.regions),
        route_homes: &call.grant.route.homes,
        workspace_homes: workspace.map_or(&[], |workspace| &workspace.homes),
    };
    let cold = ColdLimit {
        per_second: call.cold_per_second,
        return_caution: state.settings.places.return_caution,
    };
    let peers = Arc::clone(&state.peers.borrow());
    let request = ChoiceRequest {
        cold,
        daemons: peers.len() + 1,
        data_centre: &state.settings.data_centre,
        drain: state.settings.drain,
        excluded,
        key: call.placement_key,
        now,
        places,
        prefers_local,
        shared_tokens: shared_tokens(&call.received.head.prompt),
        request_hash,
    };
    let view = Arc::clone(&state.replicas.borrow());
    let replicas = view.replicas(&call.service);
    let (choice, placement) = {
        let mut tracker = state.tracker();
        if let Some(key) = call.placement_key {
            tracker.record_prompt(key, now);
        }
        if cold.is_set() {
            let fleet = FleetPlace {
                own: state.settings.peers.unwrap_or(state.settings.callers),
                data_centre: &state.settings.data_centre,
                peers: &peers,
            };
            refresh_cold(&mut tracker, replicas, &request, &fleet);
        }
        let choice = choose_replica(replicas, &tracker, &request)?;
        if choice.is_cold {
            tracker.cold_gate_mut().record(&choice.replica.id, now);
        }
        let source = call.placement_key.and_then(|key| {
            let request = SourceRequest {
                chosen: &choice.replica,
                key,
                now,
                places,
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

/// Determines to which of the cold replicas this daemon sends.
fn refresh_cold(
    tracker: &mut ReplicaTracker,
    replicas: &[Arc<ReplicaEntry>],
    request: &ChoiceRequest<'_>,
    fleet: &FleetPlace<'_>,
) {
    let gate = tracker.cold_gate_mut();
    for replica in replicas.iter().filter(|replica| request.is_cold(replica)) {
        gate.refresh(replica, fleet, request.now);
    }
}
