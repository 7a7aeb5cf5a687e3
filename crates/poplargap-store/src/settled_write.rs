//! Writes whose lost answers are resolved by their write id.
//!
//! A write without an answer may have been applied, may never be applied, or may still be on
//! its way and be applied later. Reading the key back decides only in one direction:
//!
//! - A value that holds the write's id proves that it was applied.
//! - A higher revision than the expected one proves that the write can't be applied any more:
//!   revisions only rise, so the expected one never returns. Whether it was applied before,
//!   and then overwritten, only the value can tell ([`WriteEvidence`]).
//! - The expected revision itself proves nothing: a copy on its way may be applied right after
//!   the reading. The same write is therefore sent again, with the same id and the same
//!   expected revision. At most one of the copies can be applied. If the new copy is applied,
//!   the older ones fail from then on; if it conflicts, the conflict's value decides as above.
//!
//! A write that creates a key (no expected revision) has a weaker guard: once the key is
//! removed, a copy still on its way creates it anew. A key that is removed again should be
//! bound to a lease, since copies that arrive after the lease's end are refused, or be kept as
//! a value that marks the removal.

use {
    crate::{KeyValueStore, StoreError, StoredValue, SwapOutcome, SwapWrite},
    std::time::Duration,
    tokio::time::{Instant, sleep_until, timeout_at},
};

/// Bounds on the resolution of a lost answer.
#[derive(Clone, Copy, Debug)]
pub struct SettleLimit {
    /// When the outcome is given, whether known or not.
    pub deadline: Instant,
    /// Pause after the first round; each further one doubles.
    pub pause: Duration,
    /// Highest number of rounds, each a reading and at most one more copy of the write.
    pub rounds_max: u32,
}

/// What a value says of a write that was sent for its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteEvidence {
    /// The value holds the write's id.
    Applied,
    /// The value shows that the write was not applied before it.
    NotApplied,
    /// The value was written later and no longer shows what came before.
    Unclear,
}

/// Performs a compare-and-swap and resolves a lost answer.
///
/// `evidence` is asked about values at another revision than the expected one. It may answer
/// [`WriteEvidence::NotApplied`] only if the value would still show an earlier application of
/// the write, for example because the key is written once, or through a version number that
/// the write would have raised.
///
/// [`SwapOutcome::Unknown`] remains when no round succeeds in time and when the key was changed
/// beyond recognition ([`StoreError::Superseded`]). A removal leaves no id behind, so that a
/// lost answer to it stays unknown unless a further copy is applied. After `Unknown`, the same
/// write may be sent again through this function: its own earlier effect is recognised.
pub async fn write_then_settle<S, E>(
    store: &S,
    write: &SwapWrite,
    evidence: E,
    limit: SettleLimit,
) -> SwapOutcome
where
    S: KeyValueStore,
    E: Fn(&StoredValue) -> WriteEvidence + Send + Sync,
{
    let mut error = match swap_before(store, write, limit.deadline).await {
        SwapOutcome::Unknown(error) => error,
        SwapOutcome::Conflict(Some(current)) if evidence(&current) == WriteEvidence::Applied => {
            return SwapOutcome::Applied(current.revision);
        }
        outcome => return outcome,
    };
    let mut pause = limit.pause;
    for _ in 0..limit.rounds_max {
        match settle_once(store, write, &evidence, limit.deadline).await {
            Ok(outcome) => return outcome,
            Err(round_error) => error = round_error,
        }
        let resume_at = Instant::now() + pause;
        if resume_at >= limit.deadline {
            break;
        }
        sleep_until(resume_at).await;
        pause = pause.saturating_mul(2);
    }
    SwapOutcome::Unknown(error)
}

/// Reads the key and sends the write again where the reading decides nothing.
async fn settle_once<S, E>(
    store: &S,
    write: &SwapWrite,
    evidence: &E,
    deadline: Instant,
) -> Result<SwapOutcome, StoreError>
where
    S: KeyValueStore,
    E: Fn(&StoredValue) -> WriteEvidence + Send + Sync,
{
    let current = timeout_at(deadline, store.get(&write.key))
        .await
        .map_err(|elapsed| StoreError::NoAnswer(elapsed.to_string()))??;
    let revision = current.as_ref().map(|current| current.revision);
    if revision > write.expected {
        return Ok(judge(write, current, evidence));
    }
    match swap_before(store, write, deadline).await {
        SwapOutcome::Applied(revision) => Ok(SwapOutcome::Applied(revision)),
        SwapOutcome::Conflict(current) => Ok(judge(write, current, evidence)),
        SwapOutcome::Failed(StoreError::NoLease) => Ok(SwapOutcome::Unknown(StoreError::NoLease)),
        SwapOutcome::Failed(error) | SwapOutcome::Unknown(error) => Err(error),
    }
}

/// Decides by a value at which no copy of the write can be applied any more.
fn judge<E>(write: &SwapWrite, current: Option<StoredValue>, evidence: &E) -> SwapOutcome
where
    E: Fn(&StoredValue) -> WriteEvidence,
{
    let Some(current) = current.filter(|_| write.value.is_some()) else {
        return SwapOutcome::Unknown(StoreError::Superseded);
    };
    match evidence(&current) {
        WriteEvidence::Applied => SwapOutcome::Applied(current.revision),
        WriteEvidence::NotApplied => SwapOutcome::Conflict(Some(current)),
        WriteEvidence::Unclear => SwapOutcome::Unknown(StoreError::Superseded),
    }
}

async fn swap_before<S: KeyValueStore>(
    store: &S,
    write: &SwapWrite,
    deadline: Instant,
) -> SwapOutcome {
    match timeout_at(deadline, store.swap(write)).await {
        Ok(outcome) => outcome,
        Err(elapsed) => SwapOutcome::Unknown(StoreError::NoAnswer(elapsed.to_string())),
    }
}
