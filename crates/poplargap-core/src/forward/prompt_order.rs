//! The order in which a prompt tries replicas.

use {
    super::{choice_candidate::Candidate, rendezvous},
    std::{cmp::Ordering, collections::BinaryHeap},
};

/// Share of a replica's bound that one hot prompt may take.
const HOT_PROMPT_SHARE: f64 = 0.5;

/// Failure ratio above which a replica isn't chosen by prompt.
const FAILURE_RATIO_MAX: f64 = 0.45;

/// The data centre of a request with a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptHome<'a> {
    /// The data centre; `None` if all are alike.
    pub(super) centre: Option<&'a str>,
    /// Whether the request is better served there also by a replica that has yet to read the prompt.
    pub(super) stays: bool,
}

/// Returns the number of replicas for a prompt that has `expected` open requests in the fleet.
///
/// With one replica at a time, all daemons would send to it until their load reports show that it
/// is full, and then move on to the next one together.
pub(super) fn replica_count(expected: f64, bound: f64, replicas: usize) -> u64 {
    let replica_count = (expected / (bound * HOT_PROMPT_SHARE)).ceil();
    (replica_count as u64).clamp(1, replicas.max(1) as u64)
}

/// Returns the first replica within the bound and its position in the prompt's rendezvous order.
///
/// Replicas that have the prefix cached come first, those of the data centre `home` before others. If
/// `stays`, all replicas of that data centre come first. The requests of a hot prompt start at one of
/// the first `replica_count` replicas, selected by `request_hash`.
pub(super) fn by_prompt<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    bound: f64,
    key: u64,
    home: PromptHome<'_>,
    replica_count: u64,
    request_hash: u64,
) -> Option<(usize, &'b Candidate<'a>)> {
    let fits = |candidate: &Candidate<'_>| {
        candidate.requests + 1.0 <= bound && candidate.failure_ratio <= FAILURE_RATIO_MAX
    };
    let mut order: BinaryHeap<RankedCandidate<'a, 'b>> = candidates
        .iter()
        .map(|candidate| RankedCandidate::new(candidate, key, home))
        .collect();
    let start = (request_hash % replica_count) as usize;
    let skipped: Vec<_> = (0..start).map_while(|_| order.pop()).collect();
    let rest = std::iter::from_fn(|| order.pop());
    let chosen = rest.chain(skipped).find(|ranked| fits(ranked.candidate))?;
    let is_ahead = |candidate: &&Candidate<'_>| order_score(candidate, key) > chosen.score;
    let rank = candidates.iter().filter(is_ahead).count();
    Some((rank, chosen.candidate))
}

/// Returns the candidate's score in the rendezvous order of `key`; the highest one is first.
fn order_score(candidate: &Candidate<'_>, key: u64) -> u64 {
    rendezvous::score(candidate.entry.id.as_bytes(), key)
}

/// A candidate in the order in which a prompt tries replicas: those that have it cached first.
#[derive(Clone, Copy, Debug)]
struct RankedCandidate<'a, 'b> {
    candidate: &'b Candidate<'a>,
    is_local: bool,
    is_preferred: bool,
    score: u64,
}

impl<'a, 'b> RankedCandidate<'a, 'b> {
    fn new(candidate: &'b Candidate<'a>, key: u64, home: PromptHome<'_>) -> Self {
        let is_local = home.centre == Some(candidate.entry.data_centre.as_ref());
        Self {
            candidate,
            is_local: is_local && candidate.has_prefix,
            is_preferred: is_local && home.stays,
            score: order_score(candidate, key),
        }
    }

    fn position(&self) -> (bool, bool, bool, u64) {
        (
            self.is_preferred,
            self.candidate.has_prefix,
            self.is_local,
            self.score,
        )
    }
}

impl Eq for RankedCandidate<'_, '_> {}

impl Ord for RankedCandidate<'_, '_> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.position().cmp(&other.position())
    }
}

impl PartialEq for RankedCandidate<'_, '_> {
    fn eq(&self, other: &Self) -> bool {
        self.position() == other.position()
    }
}

impl PartialOrd for RankedCandidate<'_, '_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
