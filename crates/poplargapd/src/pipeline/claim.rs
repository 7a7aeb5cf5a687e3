//! Claims of calls that may not be repeated, kept in the platform's store.
//!
//! A call with an idempotency key is claimed before it is sent, so that a repeated send through any
//! daemon finds the claim and never runs the call again. A claim with an unknown outcome is kept.

use {
    super::{ProblemCode, RequestProblem, pending_writes::PendingWrites},
    poplargap_core::name::{DaemonName, IdempotencyKey, RequestId, WorkspaceName},
    poplargap_store::{
        KeyValueStore, SettleLimit, StoreRevision, StoredValue, SwapOutcome, SwapWrite,
        WriteEvidence, write_then_settle,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::{self, Instant},
};

/// Prefix of claims' keys in the store.
pub const CLAIM_PREFIX: &str = "poplargap/claims/";

/// Longest body that a claim keeps for repeated sends.
const BODY_BYTES_MAX: usize = 64 * 1024;

const WRITE_DEADLINE: Duration = Duration::from_secs(3);
const WRITE_PAUSE: Duration = Duration::from_millis(20);
const WRITE_ROUNDS: u32 = 6;

/// Time for which the write of an outcome is retried while the store is unreachable.
const OUTCOME_DEADLINE: Duration = Duration::from_mins(2);
const OUTCOME_PAUSE: Duration = Duration::from_millis(500);
const OUTCOME_ROUNDS: u32 = 64;

/// Interval at which a pending claim of another request is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a claimed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "state")]
pub enum ClaimOutcome {
    /// The call ran and returned this answer.
    Answered {
        /// The body as text; `None` when it isn't UTF-8 or is longer than claims keep.
        body: Option<String>,
        /// Type of the body.
        content_type: Option<String>,
        /// HTTP status.
        status: u16,
    },
    /// The call certainly didn't run; the key may be used again.
    NotRun,
    /// The call is in progress, or its daemon failed.
    Pending,
    /// The call was sent and its answer was lost.
    Unknown,
}

/// A claim as the store keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClaimRecord {
    /// Hash of method, path, pool and body.
    pub call: u64,
    /// The daemon that made the claim.
    pub daemon: DaemonName,
    /// Outcome of the call.
    pub outcome: ClaimOutcome,
    /// The request that made the claim.
    pub request_id: RequestId,
    /// Id of the write, unique over all writes.
    pub write_id: String,
}

/// A claim that this daemon holds.
#[derive(Debug)]
pub struct ClaimTicket {
    key: String,
    record: ClaimRecord,
    revision: StoreRevision,
}

/// Result of an attempt to claim.
#[derive(Debug)]
pub enum ClaimAttempt {
    /// The call may be sent.
    Claimed(ClaimTicket),
    /// An earlier send of the call has this outcome.
    Earlier(ClaimOutcome),
}

/// Creates claims in the store and records their outcomes.
#[derive(Clone, Debug)]
pub struct ClaimStore<S> {
    daemon: DaemonName,
    store: S,
    pending_writes: PendingWrites,
}

impl<S: KeyValueStore> ClaimStore<S> {
    /// Creates the claim store of `daemon`, which keeps its claims in `store`.
    pub fn new(daemon: DaemonName, store: S) -> Self {
        let pending_writes = PendingWrites::default();
        Self {
            daemon,
            store,
            pending_writes,
        }
    }

    /// Claims a call before it is sent, or returns the outcome of an earlier send.
    ///
    /// Waits until `deadline` for an earlier send that is in progress.
    ///
    /// # Errors
    ///
    /// Returns a problem when the claim can't be written, or when the key belongs to another call.
    pub async fn claim(
        &self,
        workspace: &WorkspaceName,
        key: &IdempotencyKey,
        id: &RequestId,
        call: u64,
        deadline: Instant,
    ) -> Result<ClaimAttempt, RequestProblem> {
        let key = format!("{CLAIM_PREFIX}{workspace}/{key}");
        let record = ClaimRecord {
            call,
            daemon: self.daemon.clone(),
            outcome: ClaimOutcome::Pending,
            request_id: id.clone(),
            write_id: format!("{}/{:016x}", id, rand::random::<u64>()),
        };
        let mut expected = None;
        loop {
            let outcome = self
                .write(&key, &record, expected, write_limit(deadline))
                .await;
            let earlier = match outcome {
                SwapOutcome::Applied(revision) => {
                    return Ok(ClaimAttempt::Claimed(ClaimTicket {
                        key,
                        record,
                        revision,
                    }));
                }
                SwapOutcome::Conflict(Some(earlier)) => earlier,
                SwapOutcome::Conflict(None) => {
                    expected = None;
                    continue;
                }
                SwapOutcome::Failed(error) | SwapOutcome::Unknown(error) => {
                    let detail = format!("the platform's store doesn't take the claim: {error}");
                    return Err(RequestProblem::not_run(
                        ProblemCode::ClaimUnavailable,
                        detail,
                    ));
                }
            };
            let found = parse_record(&earlier)?;
            if found.call != call {
                let detail =
                    "the idempotency key was used for a call with another method, path or body";
                return Err(RequestProblem::not_run(ProblemCode::KeyReused, detail));
            }
            match found.outcome {
                ClaimOutcome::NotRun => expected = Some(earlier.revision),
                ClaimOutcome::Pending if Instant::now() + POLL_INTERVAL < deadline => {
                    time::sleep(POLL_INTERVAL).await;
                }
                outcome => return Ok(ClaimAttempt::Earlier(outcome)),
            }
        }
    }

    /// Writes the outcome of a claimed call, with retries while the store is unreachable.
    ///
    /// The write runs in the background, so that the caller's answer doesn't wait for the store.
    pub fn record_outcome(&self, ticket: ClaimTicket, outcome: ClaimOutcome) {
        let claims = self.clone();
        let guard = self.pending_writes.add();
        tokio::spawn(async move {
            claims.write_outcome(ticket, outcome).await;
            drop(guard);
        });
    }

    /// Returns the number of claims whose outcome isn't written yet.
    #[must_use]
    pub fn pending_writes(&self) -> usize {
        self.pending_writes.get()
    }

    async fn write_outcome(&self, ticket: ClaimTicket, outcome: ClaimOutcome) {
        let ClaimTicket {
            key,
            mut record,
            revision,
        } = ticket;
        record.outcome = outcome;
        record.write_id.push_str("/settled");
        let limit = SettleLimit {
            deadline: Instant::now() + OUTCOME_DEADLINE,
            pause: WRITE_PAUSE,
            rounds_max: OUTCOME_ROUNDS,
        };
        // A write that certainly wasn't applied may be retried as a new write.
        while let SwapOutcome::Failed(_) = self.write(&key, &record, Some(revision), limit).await {
            if Instant::now() + OUTCOME_PAUSE > limit.deadline {
                return;
            }
            time::sleep(OUTCOME_PAUSE).await;
        }
    }

    async fn write(
        &self,
        key: &str,
        record: &ClaimRecord,
        expected: Option<StoreRevision>,
        limit: SettleLimit,
    ) -> SwapOutcome {
        let write = SwapWrite {
            expected,
            key: key.to_owned(),
            lease: None,
            value: serde_json::to_string(record).ok(),
        };
        let evidence = |current: &StoredValue| match parse_record(current) {
            Ok(found) if found.write_id == record.write_id => WriteEvidence::Applied,
            // Only a claim's holder overwrites it, so another write's value was there first.
            Ok(_) => WriteEvidence::NotApplied,
            Err(_) => WriteEvidence::Unclear,
        };
        write_then_settle(&self.store, &write, evidence, limit).await
    }
}

impl ClaimOutcome {
    /// Creates the outcome of an answered call.
    #[must_use]
    pub fn answered(status: u16, content_type: Option<String>, body: &[u8]) -> Self {
        let body = std::str::from_utf8(body)
            .ok()
            .filter(|body| body.len() <= BODY_BYTES_MAX);
        Self::Answered {
            body: body.map(ToOwned::to_owned),
            content_type,
            status,
        }
    }
}

fn parse_record(value: &StoredValue) -> Result<ClaimRecord, RequestProblem> {
    serde_json::from_str(&value.value).map_err(|error| {
        RequestProblem::not_run(
            ProblemCode::ClaimUnavailable,
            format!("the claim can't be read: {error}"),
        )
    })
}

fn write_limit(deadline: Instant) -> SettleLimit {
    SettleLimit {
        deadline: deadline.min(Instant::now() + WRITE_DEADLINE),
        pause: WRITE_PAUSE,
        rounds_max: WRITE_ROUNDS,
    }
}
