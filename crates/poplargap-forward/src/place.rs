//! Filter: chooses the replica, where there is room for the request.

use {
    crate::{
        call_stage::{AdmittedCall, PlacementRecord, TimedRecord},
        front_state::{FrontState, PlacedCall},
        room::{RoomInputs, RoomWait},
    },
    poplargap_core::{
        forward::{
            ChoiceRequest, ColdLimit, FleetPlace, PlaceFilter, PlacedBy, ReplicaChoice,
            ReplicaEntry, ReplicaId, ReplicaLoad, ReplicaTracker, RoomRequest, RoomStep, RoomView,
            ShortRoom, SourceRequest, TimedReplica, choose_by_time, choose_replica, choose_source,
            load_factor, nominal_rate, room_step, shared_tokens, timed_replicas,
        },
        instant::MonotonicInstant,
    },
    std::{sync::Arc, time::Duration},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Pause of a request that waits for those which precede it.
const TURN_PAUSE: Duration = Duration::from_millis(40);

/// What the choice of a replica for a request led to.
#[derive(Debug)]
pub(crate) enum Placement<D> {
    /// The request is counted at a replica.
    Placed(PlacedCall<D>, Box<PlacementRecord>),
    /// There is no room; look again after this time.
    Wait(Duration),
    /// There is no room, and the request isn't to wait any longer.
    Refused {
        /// Expected time of an answer if the request were sent.
        expected: Duration,
        reason: ShortRoom,
    },
    /// No replica may get the request.
    NoReplica,
}

/// A request and the attempts and the wait for it so far.
#[derive(Debug)]
pub(crate) struct PlaceRequest<'a, D> {
    pub(crate) call: &'a AdmittedCall,
    /// Replicas that the request was already sent to.
    pub(crate) excluded: &'a [ReplicaId],
    /// Whether replicas of the daemon's data centre are preferred.
    pub(crate) prefers_local: bool,
    /// Whether this is the first choice for the request.
    pub(crate) is_first: bool,
    /// The wait for room, if the request waits.
    pub(crate) wait: Option<&'a RoomWait<D>>,
    /// Time for which the request has waited before the current wait.
    pub(crate) waited: Duration,
}

/// Chooses a replica for a request and counts the request there.
pub(crate) fn place<D>(state: &Arc<FrontState<D>>, place: &PlaceRequest<'_, D>) -> Placement<D> {
    let now = state.clock.now();
    let call = place.call;
    // A request that looks again chooses anew.
    let seed = place.wait.map_or(0, |wait| wait.waited().as_nanos() as u64);
    let request_hash = xxh3_64_with_seed(call.received.head.id.as_bytes(), seed);
    let evacuations = Arc::clone(&state.evacuations.borrow());
    let workspace = call.grant.workspace.as_ref();
    let places = PlaceFilter {
        evacuations: Some(&evacuations),
        point: call.placement_key.unwrap_or(request_hash),
        regions: Some(&state.settings.places.regions),
        route_homes: &call.grant.route.homes,
        workspace_homes: workspace.map_or(&[], |workspace| &workspace.homes),
    };
    let peers = Arc::clone(&state.peers.borrow());
    let request = ChoiceRequest {
        body_bytes: call.received.body.len(),
        cold: ColdLimit {
            per_second: call.cold_per_second,
            return_caution: state.settings.places.return_caution,
        },
        daemons: peers.len() + 1,
        data_centre: &state.settings.data_centre,
        drain: state.settings.drain,
        excluded: place.excluded,
        key: call.placement_key,
        leave: state.settings.places.leave,
        now,
        places,
        prefers_local: place.prefers_local,
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
        if request.cold.is_set() {
            let fleet = FleetPlace {
                own: state.settings.peers.unwrap_or(state.settings.callers),
                data_centre: &state.settings.data_centre,
                peers: &peers,
            };
            refresh_cold(&mut tracker, replicas, &request, &fleet);
        }
        let (choice, timed) = match timed_choice(state, &mut tracker, replicas, &request, place) {
            TimedChoice::Chosen(choice, timed) => (choice, Some(timed)),
            TimedChoice::NotTimed => match choose_replica(replicas, &tracker, &request) {
                Some(choice) => (choice, None),
                None => return Placement::NoReplica,
            },
            TimedChoice::Other(placement) => return placement,
        };
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
        let placement = PlacementRecord {
            candidates: replicas.len(),
            source,
            timed,
            ..placement_record(&tracker, &choice, now)
        };
        if let Some(key) = call.placement_key {
            tracker.record_cached(key, &choice.replica, now);
        }
        (choice, placement)
    };
    if let Some(reason) = choice.leaves {
        let centre = &choice.replica.data_centre;
        let bytes = call.received.body.len();
        state
            .metrics
            .record_leave(&call.service, centre, reason.into(), bytes);
    }
    let source = placement.source.as_ref().map(|source| {
        let basis: &'static str = source.basis.into();
        state.metrics.record_prompt_source(&call.service, basis);
        source.replica.address
    });
    let counted = PlacedCall::new(state, choice.replica, source);
    Placement::Placed(counted, Box::new(placement))
}

/// Returns what is logged of a choice, without its source and its expected times.
fn placement_record(
    tracker: &ReplicaTracker,
    choice: &ReplicaChoice,
    now: MonotonicInstant,
) -> PlacementRecord {
    let load = tracker.load(&choice.replica.id);
    PlacementRecord {
        candidates: 0,
        in_flight: load.map_or(0, ReplicaLoad::in_flight),
        leaves: choice.leaves,
        mean: choice.mean,
        placed_by: choice.placed_by,
        rank: choice.rank,
        replica: Arc::clone(&choice.replica.id),
        report_age: load.and_then(|load| load.report_age(now)),
        report_source: load.and_then(ReplicaLoad::report_source),
        requests: choice.requests,
        source: None,
        timed: None,
    }
}

/// The choice by expected times.
#[derive(Debug)]
enum TimedChoice<D> {
    Chosen(ReplicaChoice, TimedRecord),
    /// The service's replicas don't state how long their work takes.
    NotTimed,
    Other(Placement<D>),
}

/// Chooses a replica by the expected time of the answer, if the replicas state their pace, and if there
/// is room for the request.
fn timed_choice<D>(
    state: &FrontState<D>,
    tracker: &mut ReplicaTracker,
    replicas: &[Arc<ReplicaEntry>],
    request: &ChoiceRequest<'_>,
    place: &PlaceRequest<'_, D>,
) -> TimedChoice<D> {
    let call = place.call;
    let route = &call.grant.route;
    if route.is_stream || route.caches_prompts {
        return TimedChoice::NotTimed;
    }
    let work = tracker.work_time(&call.service);
    let Some(timed) = timed_replicas(replicas, tracker, request, work) else {
        return TimedChoice::NotTimed;
    };
    let Some(chosen) = choose_by_time(&timed, request.request_hash) else {
        return TimedChoice::Other(Placement::NoReplica);
    };
    if place.is_first {
        let demand = tracker.demand_mut();
        demand.record_own(&call.service, request.now);
    }
    let demand = tracker.demand_mut();
    let demand = demand.per_second(&call.service, request.daemons, request.now);
    let nominal = nominal_rate(&timed, work);
    let queue = mean_queue(&timed);
    let share = state.rooms.share(&call.service, request.now, |share| {
        share.update(nominal, demand, queue, request.now)
    });
    if let Some(wait) = place.wait {
        wait.record(RoomInputs {
            demand,
            expected: chosen.time,
            nominal,
            queue,
            share,
        });
    }
    let is_turn = match place.wait {
        Some(wait) => wait.is_first(),
        None => !state.rooms.is_preceded(call, state.clock.now()),
    };
    let id_hash = xxh3_64(call.received.head.id.as_bytes());
    let room = RoomRequest {
        look: unit(request.request_hash),
        point: unit(id_hash),
        share,
        priority: call.priority(),
        target_left: call.target_left(),
        time_left: call.time_left(),
        waited: place.waited + place.wait.map_or(Duration::ZERO, RoomWait::waited),
    };
    let view = RoomView {
        expected: chosen.time,
        queue: chosen.queue,
    };
    state
        .metrics
        .room()
        .record_expected(&call.service, chosen.time, share);
    match room_step(&room, &view) {
        RoomStep::Refuse(reason) => TimedChoice::Other(Placement::Refused {
            expected: chosen.time,
            reason,
        }),
        RoomStep::Send if is_turn => {
            let record = timed_record(tracker, chosen, &timed, request.now);
            TimedChoice::Chosen(choice_of(chosen, &timed), record)
        }
        RoomStep::Send => TimedChoice::Other(Placement::Wait(TURN_PAUSE)),
        RoomStep::Wait(pause) => TimedChoice::Other(Placement::Wait(pause)),
    }
}

fn mean_queue(timed: &[TimedReplica]) -> f64 {
    let total: f64 = timed.iter().map(|timed| timed.queue).sum();
    total / timed.len().max(1) as f64
}

/// Converts a hash to a number from 0 to 1.
fn unit(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

fn choice_of(chosen: &TimedReplica, timed: &[TimedReplica]) -> ReplicaChoice {
    let total: f64 = timed.iter().map(|timed| timed.requests).sum();
    ReplicaChoice {
        leaves: None,
        is_cold: false,
        mean: total / timed.len().max(1) as f64,
        placed_by: PlacedBy::Time,
        rank: None,
        replica: Arc::clone(&chosen.replica),
        requests: chosen.requests,
    }
}

fn timed_record(
    tracker: &ReplicaTracker,
    chosen: &TimedReplica,
    timed: &[TimedReplica],
    now: MonotonicInstant,
) -> TimedRecord {
    let others = timed
        .iter()
        .filter(|other| other.replica.id != chosen.replica.id);
    let pace = tracker.load(&chosen.replica.id).and_then(ReplicaLoad::pace);
    TimedRecord {
        expected: chosen.time,
        factor: load_factor(chosen.requests, chosen.replica.slots, chosen.pace),
        next_best: others.map(|other| other.time).min(),
        pace: chosen.pace,
        pace_age: pace.map(|pace| pace.age(now)),
    }
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
