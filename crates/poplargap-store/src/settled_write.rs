//! Compare-and-swap writes that determine their outcome after a lost answer.
//!
//! A write without an answer may have been applied, may never be applied, or may still be in
//! transit and be applied later. Reading the key back is conclusive only in some cases:
//!
//! - A value that contains the write's id proves that it was applied.
//! - A higher revision than the expected one proves that the write can't be applied any more,
//!   since revisions only increase. Only the value can show whether the write was applied before
//!   and then overwritten ([`WriteEvidence`]).
//! - The expected revision itself proves nothing: a copy in transit may be applied right after
//!   the read. The same write is therefore sent again, with the same id and the same expected
//!   revision. At most one of the copies can be applied. If the new copy is applied, the older
//!   ones fail from then on; if it conflicts, the value in the conflict decides as above.
//!
//! If the store came back from a copy meanwhile, the write's precondition means nothing any more and
//! isn't sent again: the value shows whether the copy has the write, and otherwise the caller decides
//! anew.
//!
//! A write that creates a key (no expected revision) has a weaker guarantee: after the key is
//! removed, a copy still in transit creates it again. A key that will be removed should be bound
//! to a lease, since copies that arrive after the end of the lease are refused, or be replaced by
//! a value that marks the removal.

use {
    crate::{KeyValueStore, StoreError, StoredValue, SwapOutcome, SwapWrite},
    std::{cmp::Ordering, time::Duration},
    tokio::time::{Instant, sleep_until, timeout_at},
};

/// Limits on determining the outcome after a lost answer.
#[derive(Clone, Copy, Debug)]
pub struct SettleLimit {
    /// When the function returns at the latest, with an unknown outcome if need be.
    pub deadline: Instant,
    /// Pause after the first round; it doubles after each round.
    pub pause: Duration,
    /// Maximum number of rounds; each is one read and at most one more copy of the write.
    pub rounds_max: u32,
}

/// What the value of a key proves about a write to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteEvidence {
    /// The value contains the write's id.
    Applied,
    /// The value proves that the write was not applied before it was written.
    NotApplied,
    /// The value was written later and proves nothing about earlier writes.
    Unclear,
}

/// Performs a compare-and-swap and determines its outcome if the answer is lost.
///
/// `evidence` is called with values at another revision than the expected one. It may return
/// [`WriteEvidence::NotApplied`] only if the value would still show that the write was applied
/// earlier, for example because the key is written only once, or by a version number that the
/// write would have increased.
///
/// Returns [`SwapOutcome::Unknown`] when no round succeeds in time, or when the current value no
/// longer shows whether the write was applied ([`StoreError::Superseded`]). A removal leaves no id
/// in the store, so the outcome of a removal whose answer was lost stays unknown unless a further
/// copy is applied. After `Unknown`, the same write may be passed to this function again: its own
/// earlier effect is recognised.
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
    let mut error = match swap_by_deadline(store, write, limit.deadline).await {
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
        let next_round_at = Instant::now() + pause;
        if next_round_at >= limit.deadline {
            break;
        }
        sleep_until(next_round_at).await;
        pause = pause.saturating_mul(2);
    }
    SwapOutcome::Unknown(error)
}

/// Reads the key, and sends the write again if the value is inconclusive.
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
    match progress(write, current.as_ref()) {
        WriteProgress::Passed => return Ok(outcome_by_value(write, current, evidence)),
        WriteProgress::OtherEra => return Ok(outcome_in_new_era(write, current, evidence)),
        WriteProgress::Open => {}
    }
    match swap_by_deadline(store, write, deadline).await {
        SwapOutcome::Applied(revision) => Ok(SwapOutcome::Applied(revision)),
        SwapOutcome::Conflict(current) => Ok(outcome_by_value(write, current, evidence)),
        SwapOutcome::Failed(StoreError::NoLease) => Ok(SwapOutcome::Unknown(StoreError::NoLease)),
        SwapOutcome::Failed(StoreError::EraChanged { .. }) => {
            let current = timeout_at(deadline, store.get(&write.key))
                .await
                .map_err(|elapsed| StoreError::NoAnswer(elapsed.to_string()))??;
            Ok(outcome_in_new_era(write, current, evidence))
        }
        SwapOutcome::Failed(error) | SwapOutcome::Unknown(error) => Err(error),
    }
}

/// How far a key has come since the revision that a write expects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteProgress {
    /// The write may still be applied.
    Open,
    /// The store came back from a copy since; the write's precondition means nothing there.
    OtherEra,
    /// The write can't be applied any more.
    Passed,
}

fn progress(write: &SwapWrite, current: Option<&StoredValue>) -> WriteProgress {
    let (Some(current), Some(expected)) = (current, write.expected) else {
        // A key that had to exist and is absent was removed; the write can't be applied any more,
        // and sending it again shows that.
        return if current.is_some() {
            WriteProgress::Passed
        } else {
            WriteProgress::Open
        };
    };
    match current.revision.compare(expected) {
        Ok(Ordering::Greater) => WriteProgress::Passed,
        Ok(Ordering::Equal | Ordering::Less) => WriteProgress::Open,
        Err(_) => WriteProgress::OtherEra,
    }
}

/// Returns the outcome in an era in which the write can't be sent: only the value can show that it was
/// applied before the copy was taken. Otherwise the caller has to decide anew on the current value.
fn outcome_in_new_era<E>(
    write: &SwapWrite,
    current: Option<StoredValue>,
    evidence: &E,
) -> SwapOutcome
where
    E: Fn(&StoredValue) -> WriteEvidence,
{
    let applied = current
        .as_ref()
        .filter(|current| evidence(current) == WriteEvidence::Applied);
    match applied {
        Some(applied) if write.value.is_some() => SwapOutcome::Applied(applied.revision),
        _ => SwapOutcome::Conflict(current),
    }
}

/// Returns the outcome for a current value after which no copy of the write can be applied.
fn outcome_by_value<E>(write: &SwapWrite, current: Option<StoredValue>, evidence: &E) -> SwapOutcome
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

async fn swap_by_deadline<S: KeyValueStore>(
    store: &S,
    write: &SwapWrite,
    deadline: Instant,
) -> SwapOutcome {
    match timeout_at(deadline, store.swap(write)).await {
        Ok(outcome) => outcome,
        Err(elapsed) => SwapOutcome::Unknown(StoreError::NoAnswer(elapsed.to_string())),
    }
}
