//! Compares the outcomes that callers received with the ledgers of engines and desks.

use {
    super::{SoakCall, Violation, ViolationKind},
    crate::{
        caller::{CallVerdict, RanState},
        site::SiteUpstreams,
    },
    poplargap_core::collections::{HashMap, HashSet},
    std::time::Duration,
};

/// Requests that ran on all upstreams, read from their ledgers.
#[derive(Debug, Default)]
pub(super) struct LedgerCheck {
    /// Ids of the requests that ran, by idempotency key.
    runs_by_key: HashMap<String, Vec<String>>,
    /// Ids of all requests that ran on any upstream.
    run_ids: HashSet<String>,
}

impl LedgerCheck {
    /// Reads the ledgers of all upstreams, those of stopped engines included.
    pub(super) async fn read(upstreams: &SiteUpstreams) -> Self {
        let mut check = Self::default();
        for record in &upstreams.stopped {
            let runs = record.runs.iter();
            check.run_ids.extend(runs.map(|run| run.request_id.clone()));
        }
        for engine in upstreams.engines.iter().flatten() {
            let runs = engine.ledger().await.unwrap_or_default().runs;
            check
                .run_ids
                .extend(runs.into_iter().map(|run| run.request_id));
        }
        for desk in &upstreams.desks {
            for run in desk.ledger().await.unwrap_or_default().runs {
                let id = run.request_id.unwrap_or_default();
                check.run_ids.insert(id.clone());
                if let Some(key) = run.idempotency_key {
                    check.runs_by_key.entry(key).or_default().push(id);
                }
            }
        }
        check
    }

    /// Returns the calls that ran although they were reported as not run, and the idempotency keys
    /// that ran more than once. The latter have the time `at`.
    pub(super) fn violations(&self, calls: &[SoakCall], at: Duration) -> Vec<Violation> {
        let mut violations: Vec<Violation> = calls
            .iter()
            .filter(|call| is_not_run(call) && self.run_ids.contains(&call.request_id))
            .map(|call| Violation {
                at: call.ended,
                detail: format!("{}: {:?}", call.request_id, call.verdict),
                kind: ViolationKind::NotRunRan,
            })
            .collect();
        let twice = self.runs_by_key.iter().filter(|(_, runs)| runs.len() > 1);
        violations.extend(twice.map(|(key, runs)| Violation {
            at,
            detail: format!("{key} ran as {runs:?}"),
            kind: ViolationKind::RanTwice,
        }));
        violations
    }
}

fn is_not_run(call: &SoakCall) -> bool {
    match &call.verdict {
        CallVerdict::Refused(refusal) => refusal.ran == RanState::NotRun,
        CallVerdict::Unreachable { .. } => true,
        _ => false,
    }
}
