use {
    super::{
        ColdGate, ColdLimit, LeaveReason, LeaveRequest, LeaveRule, PlaceFilter, ReplicaEntry,
        ReplicaId, ReplicaTracker,
        choice_candidate::Candidate,
        eligible_rule::eligible,
        load_bound::LoadBound,
        load_estimate::{ReportUse, candidates},
        prompt_order::{PromptHome, by_prompt, replica_count},
    },
    crate::instant::MonotonicInstant,
    std::{sync::Arc, time::Duration},
    strum::IntoStaticStr,
};

/// Requests that are added to the load of a replica in another data centre.
const REMOTE_COST_REQUESTS: f64 = 2.0;

/// Requests that are added to the load of a replica, times its failure ratio.
const FAILURE_COST_REQUESTS: f64 = 8.0;

/// Greatest factor on the mean for the load of replicas that may not be used.
const CARRIED_MEAN_MAX: f64 = 1.3;

/// Most shared tokens of a prompt that a cold replica gets to load its prompts.
const WARM_UP_TOKENS_MAX: u64 = 4_096;

/// A request for which a replica is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Bytes of the request's body.
    pub body_bytes: usize,
    /// The limits of the service's cold replicas.
    pub cold: ColdLimit,
    /// Number of the fleet's daemons.
    pub daemons: usize,
    /// The daemon's data centre.
    pub data_centre: &'a str,
    /// Time for which a leaving replica serves.
    pub drain: Duration,
    /// Replicas that the request was already sent to.
    pub excluded: &'a [ReplicaId],
    /// Key of the prompt's shared parts; `None` if it has none.
    pub key: Option<u64>,
    /// When the request leaves its data centre; `None` if all data centres are alike.
    pub leave: Option<LeaveRule>,
    /// The current time.
    pub now: MonotonicInstant,
    /// The data centres that the request may use.
    pub places: PlaceFilter<'a>,
    /// Whether replicas of the daemon's data centre are preferred, as after one was unreachable.
    pub prefers_local: bool,
    /// Tokens of the prompt's shared parts.
    pub shared_tokens: u64,
    /// Hash of the request's id, by which the requests of a hot prompt are spread.
    pub request_hash: u64,
}

impl ChoiceRequest<'_> {
    /// Returns whether a replica bears few requests yet.
    #[must_use]
    pub fn is_cold(&self, replica: &ReplicaEntry) -> bool {
        self.cold.is_set() && (self.has_returned(replica) || ColdGate::is_cold(replica, self.now))
    }

    /// Returns whether the replica's data centre was evacuated a short time ago; its replicas may be
    /// cold before their registrations say so.
    fn has_returned(&self, replica: &ReplicaEntry) -> bool {
        let (centre, time) = (&replica.data_centre, self.cold.return_caution);
        self.places
            .evacuations
            .is_some_and(|evacuations| evacuations.has_returned_within(centre, time, self.now))
    }
}

/// The criterion by which a replica was chosen.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacedBy {
    /// The replica has the prompt's prefix in its cache.
    #[strum(serialize = "home")]
    Cache,
    /// The replica has the lowest load.
    Load,
    /// The replica has a short expected time.
    Time,
    /// The replica is cold and has to load the prompts that it will serve.
    WarmUp,
    /// The replica comes first in the prompt's rendezvous order.
    Order,
}

/// The chosen replica and why it was chosen.
#[derive(Clone, Debug)]
pub struct ReplicaChoice {
    /// Why the request leaves its data centre; `None` if it doesn't, or if all are alike.
    pub leaves: Option<LeaveReason>,
    /// Whether the replica is cold.
    pub is_cold: bool,
    /// Estimated mean of the replicas' requests.
    pub mean: f64,
    /// The criterion that decided.
    pub placed_by: PlacedBy,
    /// Position in the prompt's rendezvous order, from 0; `None` if the load decided.
    pub rank: Option<usize>,
    /// The chosen replica.
    pub replica: Arc<ReplicaEntry>,
    /// Estimated requests at the replica, without this one.
    pub requests: f64,
}

/// Chooses the replica for one request; `None` if no replica is left.
///
/// This is consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018). A
/// prompt goes to a replica that has its shared parts in its cache and whose load is within a
/// bound above the mean; if there is none, to the first replica within the bound in rendezvous
/// order of the key, so that all daemons choose the same one without coordination. If no replica
/// is within the bound, the one with the lowest load is chosen. Requests without a key go to the
/// replica with the lowest load, plus penalties for another data centre and for failures.
#[must_use]
pub fn choose_replica(
    replicas: &[Arc<ReplicaEntry>],
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
) -> Option<ReplicaChoice> {
    let all = candidates(replicas, tracker, request, ReportUse::Lasting);
    let mean = mean_requests(&all);
    let eligible = eligible(&all, tracker, request);
    if let Some(chosen) = due_for_warm_up(&eligible, tracker, request) {
        return Some(choice_of(chosen, PlacedBy::WarmUp, None, mean));
    }
    let by_prompt = request.key.and_then(|key| {
        let bound = LoadBound::at(mean_confidence(&all));
        let bound = bound.requests(bound_mean(&all, mean), request.shared_tokens);
        let expected = tracker.prompt_share(key) * mean * all.len() as f64;
        let replica_count = replica_count(expected, bound, eligible.len());
        let home = prompt_home(tracker, request);
        by_prompt(
            &eligible,
            bound,
            key,
            home,
            replica_count,
            request.request_hash,
        )
    });
    let (rank, chosen) = match by_prompt {
        Some((rank, candidate)) => (Some(rank), candidate),
        None if request.key.is_some() => (
            None,
            min_by_cost(&eligible, |candidate| candidate.requests)?,
        ),
        None => (None, by_load(&eligible, request.data_centre)?),
    };
    let placed_by = match rank {
        Some(_) if chosen.has_prefix => PlacedBy::Cache,
        Some(_) => PlacedBy::Order,
        None => PlacedBy::Load,
    };
    let mut choice = choice_of(chosen, placed_by, rank, mean);
    choice.leaves = leave_reason(&eligible, tracker, request, chosen);
    Some(choice)
}

/// Returns the data centre of a request, if the data centres aren't alike, and whether the request
/// stays there.
fn prompt_home<'a>(tracker: &ReplicaTracker, request: &ChoiceRequest<'a>) -> PromptHome<'a> {
    let Some(rule) = request.leave else {
        return PromptHome {
            centre: None,
            stays: false,
        };
    };
    let leave = LeaveRequest {
        body_bytes: request.body_bytes,
        distance: tracker.distances().least(request.data_centre),
        shared_tokens: request.shared_tokens,
    };
    PromptHome {
        centre: Some(request.data_centre),
        stays: rule.stays(&leave),
    }
}

/// Returns why a request leaves its data centre for the chosen replica.
fn leave_reason(
    eligible: &[Candidate<'_>],
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
    chosen: &Candidate<'_>,
) -> Option<LeaveReason> {
    let own = request.data_centre;
    if request.leave.is_none() || chosen.entry.data_centre.as_ref() == own {
        return None;
    }
    let is_here = |candidate: &Candidate<'_>| candidate.entry.data_centre.as_ref() == own;
    if !eligible.iter().any(is_here) {
        return Some(LeaveReason::NoneHere);
    }
    if request.key.is_none() || prompt_home(tracker, request).stays {
        return Some(LeaveReason::OwnFull);
    }
    Some(LeaveReason::PromptThere)
}

fn choice_of(
    chosen: &Candidate<'_>,
    placed_by: PlacedBy,
    rank: Option<usize>,
    mean: f64,
) -> ReplicaChoice {
    ReplicaChoice {
        leaves: None,
        is_cold: chosen.is_cold,
        mean,
        placed_by,
        rank,
        replica: Arc::clone(chosen.entry),
        requests: chosen.requests,
    }
}

/// Returns the cold replica that has waited longest for a request to load its prompts, if the request
/// is short.
///
/// A long prompt would wait while the replica prefills all of it.
fn due_for_warm_up<'a, 'b>(
    eligible: &'b [Candidate<'a>],
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
) -> Option<&'b Candidate<'a>> {
    if request.shared_tokens > WARM_UP_TOKENS_MAX {
        return None;
    }
    let cold = eligible.iter().filter(|candidate| candidate.is_cold);
    let due = cold.filter_map(|candidate| {
        let idle = tracker
            .cold_gate()
            .due_since(&candidate.entry.id, request.now)?;
        Some((idle, candidate))
    });
    due.max_by_key(|(idle, _)| *idle)
        .map(|(_, candidate)| candidate)
}

/// Returns the mean weight of the replicas' load reports, from 0 to 1.
fn mean_confidence(candidates: &[Candidate<'_>]) -> f64 {
    let total: f64 = candidates
        .iter()
        .map(|candidate| candidate.confidence)
        .sum();
    total / candidates.len().max(1) as f64
}

/// Returns the mean on which the bound of a replica's requests is based.
///
/// Where a part of the replicas may not be used, the others carry its load, up to the part of the
/// bound that is left before they hold too many for the mean of all.
fn bound_mean(all: &[Candidate<'_>], mean: f64) -> f64 {
    let allowed: Vec<Candidate<'_>> = all
        .iter()
        .filter(|candidate| candidate.intake.is_some())
        .copied()
        .collect();
    if allowed.len() == all.len() || allowed.is_empty() {
        return mean;
    }
    mean_requests(&allowed).clamp(mean, mean * CARRIED_MEAN_MAX)
}

fn mean_requests(candidates: &[Candidate<'_>]) -> f64 {
    let total: f64 = candidates.iter().map(|candidate| candidate.requests).sum();
    total / candidates.len().max(1) as f64
}

fn by_load<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    data_centre: &str,
) -> Option<&'b Candidate<'a>> {
    min_by_cost(candidates, |candidate| {
        let is_local = candidate.entry.data_centre.as_ref() == data_centre;
        let penalty = if is_local { 0.0 } else { REMOTE_COST_REQUESTS };
        candidate.requests + penalty + candidate.failure_ratio * FAILURE_COST_REQUESTS
    })
}

fn min_by_cost<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> Option<&'b Candidate<'a>> {
    candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
}
