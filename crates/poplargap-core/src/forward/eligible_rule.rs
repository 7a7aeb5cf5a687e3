//! The replicas that may get a request.

use super::{ChoiceRequest, IntakeState, ReplicaTracker, choice_candidate::Candidate};

/// Returns the replicas that weren't tried and take requests, without the unavailable ones unless
/// all are.
///
/// Leaving replicas are used only while no other one takes requests. If the request prefers its own
/// data centre, replicas elsewhere are used only if it has none.
pub(super) fn eligible<'a>(
    all: &[Candidate<'a>],
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
) -> Vec<Candidate<'a>> {
    let untried: Vec<Candidate<'a>> = all
        .iter()
        .filter(|candidate| !request.excluded.contains(&candidate.entry.id))
        .copied()
        .collect();
    let in_state = |state: IntakeState| -> Vec<Candidate<'a>> {
        let candidates = untried.iter();
        let candidates = candidates.filter(|candidate| candidate.intake == Some(state));
        candidates.copied().collect()
    };
    let open = in_state(IntakeState::Open);
    let untried = if open.is_empty() {
        in_state(IntakeState::LastResort)
    } else {
        bearable(open, tracker, request)
    };
    let healthy: Vec<Candidate<'a>> = untried
        .iter()
        .filter(|candidate| !candidate.is_unavailable)
        .copied()
        .collect();
    let usable = if healthy.is_empty() { untried } else { healthy };
    if request.prefers_local {
        local_or_all(usable, request.data_centre)
    } else {
        usable
    }
}

/// Returns the candidates without the cold replicas to which this daemon may not send now.
///
/// A service all of whose replicas are cold gets its requests at random ones of them, each daemon
/// sending its part of what they bear together.
fn bearable<'a>(
    open: Vec<Candidate<'a>>,
    tracker: &ReplicaTracker,
    request: &ChoiceRequest<'_>,
) -> Vec<Candidate<'a>> {
    let cold_count = open.iter().filter(|candidate| candidate.is_cold).count();
    if cold_count == 0 {
        return open;
    }
    let (limit, gate, now) = (request.cold, tracker.cold_gate(), request.now);
    if cold_count < open.len() {
        let mut bearable = open;
        bearable
            .retain(|candidate| !candidate.is_cold || gate.allows(&candidate.entry.id, limit, now));
        return bearable;
    }
    if !gate.allows_spread(limit, cold_count, request.daemons, now) {
        return Vec::new();
    }
    let index = request.request_hash % cold_count as u64;
    vec![open[index as usize]]
}

/// Returns the candidates in a data centre, or all candidates if it has none.
fn local_or_all<'a>(candidates: Vec<Candidate<'a>>, data_centre: &str) -> Vec<Candidate<'a>> {
    let local: Vec<Candidate<'a>> = candidates
        .iter()
        .filter(|candidate| candidate.entry.data_centre.as_ref() == data_centre)
        .copied()
        .collect();
    if local.is_empty() { candidates } else { local }
}
