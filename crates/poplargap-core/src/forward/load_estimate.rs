//! Estimates of the replicas' loads for one choice.

use {
    super::{
        ChoiceRequest, IntakeState, ReplicaEntry, ReplicaLoad, ReplicaTracker,
        cached_replicas::CachedReplica, choice_candidate::Candidate,
    },
    crate::instant::MonotonicInstant,
    std::sync::Arc,
};

/// Weight of the newest report from which on the mean of all is taken as it is.
const CERTAIN_WEIGHT: f64 = 0.5;

/// Least and greatest relative pace that is counted, so that a replica that states a wrong pace gets
/// neither most of the requests nor none.
const RELATIVE_PACE_RANGE: (f64, f64) = (0.7, 3.0);

/// How load reports are used, which depends on how fast a service's load changes.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReportUse {
    /// Requests take seconds, and prompts keep their replicas.
    Lasting,
    /// Requests take much less than a second.
    Recent,
}

impl ReportUse {
    /// Returns the weight of a replica's last report.
    fn weight(self, load: &ReplicaLoad, now: MonotonicInstant) -> f64 {
        match self {
            Self::Lasting => load.report_weight(now),
            Self::Recent => load.recent_weight(now),
        }
    }

    /// Returns the factor on the mean of the reports if `greatest` is the weight of the newest one.
    ///
    /// Where all reports are old, a full replica has probably room again, and a request has to find
    /// out.
    fn certainty(self, greatest: f64) -> f64 {
        match self {
            Self::Lasting => 1.0,
            Self::Recent => (greatest / CERTAIN_WEIGHT).min(1.0),
        }
    }
}

/// Estimates the requests at each replica.
///
/// A replica's own report is weighted by its age; the mean of all reports makes up the rest.
pub(super) fn candidates<'a>(
    replicas: &'a [Arc<ReplicaEntry>],
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
    reports: ReportUse,
) -> Vec<Candidate<'a>> {
    let now = request.now;
    let holders: Vec<&CachedReplica> = request
        .key
        .into_iter()
        .flat_map(|key| tracker.holders(key, now))
        .collect();
    let has_prefix = |entry: &ReplicaEntry| holders.iter().any(|cached| cached.is_at(entry));
    let centres = tracker.unreachable_centres(now);
    let loads: Vec<Option<&ReplicaLoad>> = replicas
        .iter()
        .map(|entry| tracker.load(&entry.id))
        .collect();
    let mean = mean_peer_requests(&loads, now, reports);
    let paces = PaceScale::new(&loads);
    let estimate = |load: Option<&ReplicaLoad>| {
        let peers = load
            .and_then(ReplicaLoad::peer_requests)
            .map_or(mean, f64::from);
        let weight = load.map_or(0.0, |load| reports.weight(load, now));
        let own = load.map_or(0, ReplicaLoad::in_flight);
        f64::from(own) + weight * peers + (1.0 - weight) * mean
    };
    replicas
        .iter()
        .zip(loads)
        .map(|(entry, load)| Candidate {
            entry,
            failure_ratio: load.map_or(0.0, ReplicaLoad::failure_ratio),
            has_prefix: has_prefix(entry),
            confidence: load.map_or(0.0, |load| load.report_weight(now)),
            intake: request.places.allows(&entry.data_centre, now).then(|| {
                load.map_or(IntakeState::Open, |load| {
                    load.intake_state(entry, request.drain, now)
                })
            }),
            is_cold: request.is_cold(entry),
            is_unavailable: load.is_some_and(|load| load.is_ejected(now))
                || centres.contains(&entry.data_centre.as_ref()),
            pace: load.map_or(paces.mean, |load| paces.expected(load, now)),
            requests: estimate(load) * paces.relative(load),
        })
        .collect()
}

/// Returns the mean number of the peers' requests per replica, weighted by the reports' ages.
fn mean_peer_requests(
    loads: &[Option<&ReplicaLoad>],
    now: MonotonicInstant,
    reports: ReportUse,
) -> f64 {
    let (mut total, mut weights, mut greatest) = (0.0, 0.0, 0.0_f64);
    for load in loads.iter().flatten() {
        let weight = reports.weight(load, now);
        greatest = greatest.max(weight);
        total += weight * load.peer_requests().map_or(0.0, f64::from);
        weights += weight;
    }
    if weights > 0.0 {
        total / weights * reports.certainty(greatest)
    } else {
        0.0
    }
}

/// The paces of a service's replicas against their mean.
#[derive(Clone, Copy, Debug)]
struct PaceScale {
    mean: f64,
}

impl PaceScale {
    fn new(loads: &[Option<&ReplicaLoad>]) -> Self {
        let paces = loads.iter().flatten().filter_map(|load| load.pace());
        let (total, count) = paces.fold((0.0, 0.0), |(total, count), pace| {
            (total + pace.lasting_factor(), count + 1.0)
        });
        let mean = if count > 0.0 { total / count } else { 1.0 };
        Self { mean }
    }

    /// Returns the pace of a replica as of now; the mean if it has stated none.
    fn expected(self, load: &ReplicaLoad, now: MonotonicInstant) -> f64 {
        load.pace().map_or(self.mean, |pace| pace.factor(now))
    }

    /// Returns the factor by which a request weighs more at a replica that is slow for long.
    fn relative(self, load: Option<&ReplicaLoad>) -> f64 {
        let pace = load.and_then(ReplicaLoad::pace);
        let (least, greatest) = RELATIVE_PACE_RANGE;
        pace.map_or(1.0, |pace| pace.lasting_factor() / self.mean)
            .clamp(least, greatest)
    }
}
