use {
    super::{ReplicaEntry, ReplicaId, ReplicaLoad, ReplicaTracker},
    crate::instant::MonotonicInstant,
    std::{cmp::Reverse, sync::Arc},
    strum::IntoStaticStr,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// What a prompt's own replica may carry.
#[derive(Clone, Copy, Debug)]
struct LoadBound {
    /// Multiple of the mean for a long prompt.
    long_factor: f64,
    /// Multiple of the mean for a short prompt.
    short_factor: f64,
    /// Requests above that multiple in any case.
    slack: f64,
}

/// Bound of a daemon that knows nothing of the replicas' loads; other daemons may add as much.
const BLIND_BOUND: LoadBound = LoadBound {
    long_factor: 1.3,
    short_factor: 1.0,
    slack: 1.2,
};

/// Bound of a daemon that knows all replicas' loads.
const SEEING_BOUND: LoadBound = LoadBound {
    long_factor: 1.9,
    short_factor: 1.1,
    slack: 2.0,
};

/// Share of a replica's bound that one hot prompt may take.
const HOT_SHARE: f64 = 0.5;

/// Shared tokens from which a prompt counts as long.
const LONG_TOKENS: f64 = 4_096.0;

/// Requests that a replica in another data centre must have fewer to be taken.
const DISTANCE_COST: f64 = 2.0;

/// Requests that a replica with only failures seems to have more.
const FAILURE_COST: f64 = 8.0;

/// Failure ratio above which a prompt's own replica is passed over.
const FAILURE_RATIO_MAX: f64 = 0.45;

/// What a choice depends on besides the replicas.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// The daemon's data centre.
    pub data_centre: &'a str,
    /// Replicas that this request was sent to before.
    pub excluded: &'a [ReplicaId],
    /// Key of the prompt's shared parts, if it has any.
    pub key: Option<u64>,
    /// The present instant.
    pub now: MonotonicInstant,
    /// Whether the request has met a replica out of reach, and should stay near if it can.
    pub prefers_local: bool,
    /// Tokens of the prompt's shared parts.
    pub shared_tokens: u64,
    /// A number that differs from request to request.
    pub ticket: u64,
}

/// What decided on a replica.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacedBy {
    /// It has the prompt's prefix in its cache.
    #[strum(serialize = "home")]
    Cache,
    /// It has the fewest requests.
    Load,
    /// It comes first in the prompt's order.
    Order,
}

/// The chosen replica and what decided.
#[derive(Clone, Debug)]
pub struct ReplicaChoice {
    /// The mean of all replicas' requests, as estimated.
    pub mean: f64,
    /// What decided.
    pub placed_by: PlacedBy,
    /// Place in the prompt's order of replicas, from 0; `None` where the load decided.
    pub rank: Option<usize>,
    /// The replica.
    pub replica: Arc<ReplicaEntry>,
    /// The replica's requests before this one, as estimated.
    pub requests: f64,
}

/// A replica with what it is thought to carry.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    entry: &'a Arc<ReplicaEntry>,
    failure_ratio: f64,
    /// Whether it probably has the prompt's prefix in its cache.
    has_prefix: bool,
    /// How well the load is known, from 0 to 1.
    knowledge: f64,
    requests: f64,
}

/// Chooses the replica for one request, or `None` when there is none to choose.
///
/// A prompt goes to a replica that has read its shared parts and whose load stays under a bound
/// above the mean. Where none is known, it goes to the first such replica in rendezvous order of
/// those parts (Mirrokni, Thorup and Zadimoghaddam, 2018), so that all daemons find the same one
/// without a message. Other requests go to the replica with the fewest requests, counting
/// distance and failures.
#[must_use]
pub fn choose_replica(
    replicas: &[Arc<ReplicaEntry>],
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
) -> Option<ReplicaChoice> {
    let all = candidates(replicas, tracker, request);
    let mean = mean_of(&all);
    let allowed = allowed(&all, tracker, request);
    let by_prompt = request.key.and_then(|key| {
        let bound = LoadBound::at(knowledge_of(&all));
        let bound = bound.requests(mean, request.shared_tokens);
        let expected = tracker.prompt_share(key) * mean * all.len() as f64;
        let copies = copies(expected, bound, allowed.len());
        by_prompt(&allowed, bound, key, copies, request.ticket)
    });
    let (rank, chosen) = match by_prompt {
        Some((rank, candidate)) => (Some(rank), candidate),
        None if request.key.is_some() => (None, least(&allowed, |candidate| candidate.requests)?),
        None => (None, by_load(&allowed, request.data_centre)?),
    };
    let placed_by = match rank {
        Some(_) if chosen.has_prefix => PlacedBy::Cache,
        Some(_) => PlacedBy::Order,
        None => PlacedBy::Load,
    };
    Some(ReplicaChoice {
        mean,
        placed_by,
        rank,
        replica: Arc::clone(chosen.entry),
        requests: chosen.requests,
    })
}

/// Estimates every replica's requests.
///
/// The older a replica's report, the more the mean of all reports stands in for it.
fn candidates<'a>(
    replicas: &'a [Arc<ReplicaEntry>],
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
) -> Vec<Candidate<'a>> {
    let now = request.now;
    let has_prefix = |entry: &ReplicaEntry| {
        let key = request.key;
        key.is_some_and(|key| tracker.is_cached(key, entry, now))
    };
    let loads: Vec<Option<&ReplicaLoad>> = replicas
        .iter()
        .map(|entry| tracker.load(&entry.id))
        .collect();
    let mean = mean_of_others(&loads, now);
    let estimate = |load: Option<&ReplicaLoad>| {
        let others = load.and_then(ReplicaLoad::others).map_or(mean, f64::from);
        let weight = load.map_or(0.0, |load| load.report_weight(now));
        let own = load.map_or(0, ReplicaLoad::in_flight);
        f64::from(own) + weight * others + (1.0 - weight) * mean
    };
    replicas
        .iter()
        .zip(loads)
        .map(|(entry, load)| Candidate {
            entry,
            failure_ratio: load.map_or(0.0, ReplicaLoad::failure_ratio),
            has_prefix: has_prefix(entry),
            knowledge: load.map_or(0.0, |load| load.report_weight(now)),
            requests: estimate(load),
        })
        .collect()
}

/// Returns the mean of the other daemons' requests a replica, newer reports counting more.
fn mean_of_others(loads: &[Option<&ReplicaLoad>], now: MonotonicInstant) -> f64 {
    let (mut total, mut weights) = (0.0, 0.0);
    for load in loads.iter().flatten() {
        let weight = load.report_weight(now);
        total += weight * load.others().map_or(0.0, f64::from);
        weights += weight;
    }
    if weights > 0.0 { total / weights } else { 0.0 }
}

/// Leaves out replicas that were tried, and ill ones while others are left.
fn allowed<'a>(
    all: &[Candidate<'a>],
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
) -> Vec<Candidate<'a>> {
    let untried: Vec<Candidate<'a>> = all
        .iter()
        .filter(|candidate| !request.excluded.contains(&candidate.entry.id))
        .copied()
        .collect();
    let is_ill = |candidate: &Candidate<'_>| tracker.is_avoided(candidate.entry, request.now);
    let well: Vec<Candidate<'a>> = untried
        .iter()
        .filter(|candidate| !is_ill(candidate))
        .copied()
        .collect();
    let usable = if well.is_empty() { untried } else { well };
    if request.prefers_local {
        near_or_all(usable, request.data_centre)
    } else {
        usable
    }
}

/// Keeps the replicas of a data centre, or all where it has none.
fn near_or_all<'a>(candidates: Vec<Candidate<'a>>, data_centre: &str) -> Vec<Candidate<'a>> {
    let near: Vec<Candidate<'a>> = candidates
        .iter()
        .filter(|candidate| candidate.entry.data_centre.as_ref() == data_centre)
        .copied()
        .collect();
    if near.is_empty() { candidates } else { near }
}

/// Returns how well the replicas' loads are known in the mean, from 0 to 1.
fn knowledge_of(candidates: &[Candidate<'_>]) -> f64 {
    let total: f64 = candidates.iter().map(|candidate| candidate.knowledge).sum();
    total / candidates.len().max(1) as f64
}

fn mean_of(candidates: &[Candidate<'_>]) -> f64 {
    let total: f64 = candidates.iter().map(|candidate| candidate.requests).sum();
    total / candidates.len().max(1) as f64
}

impl LoadBound {
    /// Returns the bound of a daemon whose knowledge of loads is `knowledge`, from 0 to 1.
    fn at(knowledge: f64) -> Self {
        let between = |blind: f64, seeing: f64| blind + (seeing - blind) * knowledge;
        Self {
            long_factor: between(BLIND_BOUND.long_factor, SEEING_BOUND.long_factor),
            short_factor: between(BLIND_BOUND.short_factor, SEEING_BOUND.short_factor),
            slack: between(BLIND_BOUND.slack, SEEING_BOUND.slack),
        }
    }

    /// Returns the requests that a replica may carry with the new one.
    ///
    /// A short prompt is read again in no time, so it fills the replicas with room and leaves the
    /// others to the long ones.
    fn requests(&self, mean: f64, shared_tokens: u64) -> f64 {
        let length = (shared_tokens as f64 / LONG_TOKENS).min(1.0);
        let factor = self.short_factor + (self.long_factor - self.short_factor) * length;
        factor * mean + self.slack
    }
}

/// Returns how many replicas share a prompt of which the fleet has `expected` requests open.
///
/// Daemons that don't speak to each other would all find the first replica too full only
/// after they sent to it, and then the next one.
fn copies(expected: f64, bound: f64, replicas: usize) -> u64 {
    let copies = (expected / (bound * HOT_SHARE)).ceil();
    (copies as u64).clamp(1, replicas.max(1) as u64)
}

/// Returns the replica for a prompt with its place in the prompt's order, if one has room.
///
/// Replicas that have the prefix cached come first. A prompt that needs `copies` begins at one of them, drawn by `ticket`.
fn by_prompt<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    bound: f64,
    key: u64,
    copies: u64,
    ticket: u64,
) -> Option<(usize, &'b Candidate<'a>)> {
    let fits = |candidate: &Candidate<'_>| {
        candidate.requests + 1.0 <= bound && candidate.failure_ratio <= FAILURE_RATIO_MAX
    };
    let ranked = ranked(candidates, key);
    let (mut order, others): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|(_, candidate)| candidate.has_prefix);
    order.extend(others);
    let start = (ticket % copies) as usize;
    order.rotate_left(start.min(candidates.len()));
    order.into_iter().find(|(_, candidate)| fits(candidate))
}

/// Returns the candidates in rendezvous order of `key` with their places.
fn ranked<'a, 'b>(candidates: &'b [Candidate<'a>], key: u64) -> Vec<(usize, &'b Candidate<'a>)> {
    let score = |candidate: &Candidate<'a>| xxh3_64_with_seed(candidate.entry.id.as_bytes(), key);
    let mut ranked: Vec<(u64, &Candidate<'a>)> = candidates
        .iter()
        .map(|candidate| (score(candidate), candidate))
        .collect();
    ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
    let candidates = ranked.into_iter().map(|(_, candidate)| candidate);
    candidates.enumerate().collect()
}

fn by_load<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    data_centre: &str,
) -> Option<&'b Candidate<'a>> {
    least(candidates, |candidate| {
        let is_near = candidate.entry.data_centre.as_ref() == data_centre;
        let distance = if is_near { 0.0 } else { DISTANCE_COST };
        candidate.requests + distance + candidate.failure_ratio * FAILURE_COST
    })
}

fn least<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> Option<&'b Candidate<'a>> {
    candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
}
