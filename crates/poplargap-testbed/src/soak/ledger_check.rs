//! Compares what callers were told with the ledgers of engines and desks.

use {
    super::{SoakCall, Violation, ViolationKind},
    crate::{
        caller::{CallVerdict, RanState},
        site::SiteUpstreams,
    },
    poplargap_core::collections::{HashMap, HashSet},
    std::time::Duration,
};

/// What ran on all upstreams.
#[derive(Debug, Default)]
pub(super) struct LedgerCheck {
    /// Runs by idempotency key.
    keys: HashMap<String, Vec<String>>,
    /// All requests that ran anywhere.
    ran: HashSet<String>,
}

impl LedgerCheck {
    /// Reads the ledgers of all upstreams, those of stopped engines included.
    pub(super) async fn read(upstreams: &SiteUpstreams) -> Self {
        let mut check = Self::default();
        for record in &upstreams.stopped {
            let runs = record.runs.iter();
            check.ran.extend(runs.map(|run| run.request_id.clone()));
        }
        for engine in upstreams.engines.iter().flatten() {
            let runs = engine.ledger().await.unwrap_or_default().runs;
            check.ran.extend(runs.into_iter().map(|run| run.request_id));
        }
        for desk in &upstreams.desks {
            for run in desk.ledger().await.unwrap_or_default().runs {
                let id = run.request_id.unwrap_or_default();
                check.ran.insert(id.clone());
                if let Some(key) = run.idempotency_key {
                    check.keys.entry(key).or_default().push(id);
                }
            }
        }
        check
    }

    /// Returns everything that the ledgers show to be wrong.
    pub(super) fn violations(&self, calls: &[SoakCall], at: Duration) -> Vec<Violation> {
        let mut violations: Vec<Violation> = calls
            .iter()
            .filter(|call| is_not_run(call) && self.ran.contains(&call.request_id))
            .map(|call| Violation {
                at: call.ended,
                detail: format!("{}: {:?}", call.request_id, call.verdict),
                kind: ViolationKind::NotRunRan,
            })
            .collect();
        let twice = self.keys.iter().filter(|(_, runs)| runs.len() > 1);
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
