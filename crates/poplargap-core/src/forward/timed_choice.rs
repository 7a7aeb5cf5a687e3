use {
    super::{
        ChoiceRequest, ReplicaEntry, ReplicaTracker,
        choice_candidate::Candidate,
        eligible_rule::eligible,
        load_estimate::{ReportUse, candidates},
    },
    std::{sync::Arc, time::Duration},
};

/// Exponent of the expected times in the weights of a random choice.
///
/// All daemons read about the same reports. If each chose the best replica, all of them would, until
/// the next reports; with these weights a replica that takes twice as long gets a ninth.
const WEIGHT_EXPONENT: f64 = 3.2;

/// A replica with the time that a request is expected to take there.
#[derive(Clone, Debug)]
pub struct TimedReplica {
    /// Requests at the replica as estimated, without the new one.
    pub requests: f64,
    /// Factor on the usual time of work.
    pub pace: f64,
    /// Requests that wait at the replica for each of its slots.
    pub queue: f64,
    /// The replica.
    pub replica: Arc<ReplicaEntry>,
    /// Expected time from the send to the answer.
    pub time: Duration,
}

/// Returns the factor on the time of work at an idle replica of the usual pace: the request waits for
/// those ahead of it, which end one after the other in the replica's slots.
#[must_use]
pub fn load_factor(requests: f64, slots: u32, pace: f64) -> f64 {
    pace * (1.0 + queue(requests + 1.0, slots))
}

/// Returns the number of `requests` that wait for each slot.
fn queue(requests: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    (requests - slots).max(0.0) / slots
}

/// Estimates the time of a request at each replica that may get it; `None` if no replica of the
/// service states its pace.
///
/// `work` is the time of a request at an idle replica of the usual pace.
#[must_use]
pub fn timed_replicas(
    replicas: &[Arc<ReplicaEntry>],
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
    work: Duration,
) -> Option<Vec<TimedReplica>> {
    let states_pace = |entry: &Arc<ReplicaEntry>| {
        let load = tracker.load(&entry.id);
        load.is_some_and(|load| load.pace().is_some())
    };
    if !replicas.iter().any(states_pace) {
        return None;
    }
    let all = candidates(replicas, tracker, request, ReportUse::Recent);
    let eligible = eligible(&all, tracker, request);
    let distances = tracker.distances();
    let timed = eligible.iter().map(|candidate| {
        let distance = distances.distance(request.data_centre, &candidate.entry.data_centre);
        timed(candidate, work, distance)
    });
    Some(timed.collect())
}

/// Estimates the time of a request at a candidate.
fn timed(candidate: &Candidate<'_>, work: Duration, distance: Duration) -> TimedReplica {
    let slots = candidate.entry.slots;
    let factor = load_factor(candidate.requests, slots, candidate.pace);
    // A failed request takes the time of a second one.
    let failures = 1.0 + candidate.failure_ratio;
    TimedReplica {
        pace: candidate.pace,
        queue: queue(candidate.requests, slots),
        replica: Arc::clone(candidate.entry),
        requests: candidate.requests,
        time: work.mul_f64(factor * failures) + distance,
    }
}

/// Returns the requests a second that the replicas answer with all their slots in use.
#[must_use]
pub fn nominal_rate(replicas: &[TimedReplica], work: Duration) -> f64 {
    let work = work.as_secs_f64().max(f64::MIN_POSITIVE);
    let rates = replicas
        .iter()
        .map(|timed| f64::from(timed.replica.slots) / (work * timed.pace));
    rates.sum()
}

/// Chooses one of the replicas at random, a slow one less often; `point` is a uniform hash of the
/// request.
#[must_use]
pub fn choose_by_time(replicas: &[TimedReplica], point: u64) -> Option<&TimedReplica> {
    let shortest = replicas.iter().map(|timed| timed.time).min()?;
    let shortest = shortest.as_secs_f64().max(f64::MIN_POSITIVE);
    let weight = |timed: &TimedReplica| {
        let ratio = shortest / timed.time.as_secs_f64().max(shortest);
        ratio.powf(WEIGHT_EXPONENT)
    };
    let total: f64 = replicas.iter().map(weight).sum();
    let mut left = point as f64 / u64::MAX as f64 * total;
    let chosen = replicas.iter().find(|timed| {
        left -= weight(timed);
        left <= 0.0
    });
    chosen.or_else(|| replicas.last())
}
