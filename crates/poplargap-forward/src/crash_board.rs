//! The crashes of replicas as a daemon knows them, shared by its requests, its feed and its reporter.

use {
    crate::{front_metrics::FrontMetrics, process_clock::ProcessClock},
    poplargap_core::{
        collections::HashMap,
        forward::{
            BlockScope, BlockedParts, CrashEvidence, CrashReport, EvidenceChange, EvidenceListing,
            LostItem, MissingNote, PeerCrash, PendingCrashes, ReplicaId, RequestIdentity,
            UnansweredCall,
        },
    },
    slog::{Logger, info, warn},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{Notify, mpsc},
};

/// Prefix of the keys of crash reports: one key for each crash and daemon.
pub const CRASHES_PREFIX: &str = "crash-reports/";

/// Prefix of the keys of notes on prompt parts: one key for each part, named by its hash.
pub const SOUND_PREFIX: &str = "sound-parts/";

/// Most reports that wait to be written to the store.
const REPORTS_MAX: usize = 32;

/// Most unanswered requests that are kept for one replica until its crash is confirmed.
const SUSPECTS_MAX: usize = 16;

/// A report of the daemon and its key in the store.
#[derive(Debug)]
pub(crate) struct KeyedReport {
    pub(crate) key: String,
    pub(crate) report: CrashReport,
}

/// The evidence of crashes, with a log line for each change of what is blocked.
#[derive(Debug)]
pub(crate) struct CrashBoard {
    changed: Notify,
    clock: ProcessClock,
    evidence: Mutex<CrashEvidence>,
    log: Logger,
    metrics: FrontMetrics,
    pending: Mutex<PendingCrashes>,
    reports: mpsc::Sender<KeyedReport>,
    suspects: Mutex<HashMap<ReplicaId, Vec<UnansweredCall>>>,
}

impl CrashBoard {
    /// Creates a board and the receiver of the reports that have to be written to the store.
    pub(crate) fn new(
        clock: ProcessClock,
        metrics: FrontMetrics,
        log: Logger,
    ) -> (Self, mpsc::Receiver<KeyedReport>) {
        let (reports, receiver) = mpsc::channel(REPORTS_MAX);
        let board = Self {
            changed: Notify::new(),
            clock,
            evidence: Mutex::default(),
            log,
            metrics,
            pending: Mutex::default(),
            reports,
            suspects: Mutex::default(),
        };
        (board, receiver)
    }

    /// Returns the hash for which a caller's request must not be sent to a replica, if any.
    pub(crate) fn blocking_hash(
        &self,
        identity: &RequestIdentity,
        workspace: Option<&str>,
    ) -> Option<u64> {
        self.evidence().blocked().find(identity, workspace)
    }

    /// Returns whether a request may be sent again after `unanswered` unanswered attempts.
    pub(crate) fn may_retry(&self, identity: &RequestIdentity, unanswered: u32) -> bool {
        let now = self.clock.now();
        self.evidence().may_retry(identity, unanswered, now)
    }

    /// Records that a replica, started at `started_ms`, answered a request.
    pub(crate) fn record_answer(&self, identity: &RequestIdentity, started_ms: u64) {
        let now = self.clock.now();
        self.evidence().record_answer(identity, started_ms, now);
    }

    /// Adds a request whose connection broke before the answer was whole; returns whether it is the
    /// first one at this replica, which has to be checked for a crash.
    pub(crate) fn add_suspect(&self, replica: &ReplicaId, call: UnansweredCall) -> bool {
        let mut suspects = self.suspects();
        let calls = suspects.entry(Arc::clone(replica)).or_default();
        if calls.len() < SUSPECTS_MAX {
            calls.push(call);
        }
        calls.len() == 1
    }

    /// Takes the requests that were unanswered at a replica.
    pub(crate) fn take_suspects(&self, replica: &ReplicaId) -> Vec<UnansweredCall> {
        self.suspects().remove(replica).unwrap_or_default()
    }

    /// Records a crash that this daemon, at the address `own`, saw, and queues its report for the
    /// store and for the peers.
    pub(crate) fn record_crash(&self, own: SocketAddr, report: CrashReport) {
        let key = report_key(&report, own);
        self.record_direct(&key, &report);
        let crash = PeerCrash {
            report: report.clone(),
            seen_by: own,
        };
        self.pending().record_own(key.clone(), crash);
        if self.reports.try_send(KeyedReport { key, report }).is_err() {
            self.metrics.record_crash_report("dropped");
            warn!(self.log, "crash report dropped because too many wait");
        }
    }

    /// Records a crash that another daemon saw, and queues its report for further peers if it is new.
    pub(crate) fn record_peer_crash(&self, crash: PeerCrash) {
        let key = report_key(&crash.report, crash.seen_by);
        if !self.record_direct(&key, &crash.report) {
            return;
        }
        self.metrics.record_crash_report("from-peer");
        info!(self.log, "crash report of a peer"; "key" => &key,
            "replica" => crash.report.crash().replica.as_ref(),
            "requests" => crash.report.calls().len());
        self.pending().record_forwarded(key, crash);
    }

    /// Returns the crash reports for one round of messages to the peers.
    pub(crate) fn take_pending(&self) -> Vec<PeerCrash> {
        self.pending().take()
    }

    /// Drops what is too old.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        self.update(|evidence| evidence.expire(now));
    }

    /// Applies changes from the store.
    pub(crate) fn apply(&self, changes: Vec<EvidenceChange>) {
        if !changes.is_empty() {
            let now = self.clock.now();
            self.update(|evidence| evidence.apply(changes, now));
        }
    }

    /// Replaces what came from the store by a listing.
    pub(crate) fn replace(&self, listing: EvidenceListing) {
        let now = self.clock.now();
        self.update(|evidence| evidence.replace(listing, now));
    }

    /// Takes over a listing of a store that came back from a copy; returns how much of the evidence is
    /// kept though the copy lacks it.
    pub(crate) fn replace_in_new_era(&self, listing: EvidenceListing) -> usize {
        let now = self.clock.now();
        self.update(|evidence| {
            evidence.replace_in_new_era(listing, now);
            evidence.lost().len()
        })
    }

    /// Returns what the store lost and the time since then.
    pub(crate) fn lost(&self) -> Vec<(LostItem, Duration)> {
        let now = self.clock.now();
        let lost = self.evidence().lost().into_iter();
        lost.map(|lost| (lost.item, now.since(lost.at))).collect()
    }

    /// Records that this daemon is writing a lost key again.
    pub(crate) fn record_resent(&self, item: &LostItem) {
        let now = self.clock.now();
        self.evidence().record_resent(item, now);
    }

    /// Records that this daemon is writing a note.
    pub(crate) fn record_sent(&self, missing: &MissingNote) {
        let now = self.clock.now();
        self.update(|evidence| evidence.record_sent(missing, now));
    }

    /// Returns the notes that the store lacks on parts that replicas answered.
    pub(crate) fn missing_notes(&self) -> Vec<MissingNote> {
        let now = self.clock.now();
        self.evidence().missing_notes(now)
    }

    /// Returns whether any crash is on record.
    pub(crate) fn has_crashes(&self) -> bool {
        self.evidence().report_count() > 0
    }

    /// Waits for the next change of the evidence.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Adds a report; returns whether it is new.
    fn record_direct(&self, key: &str, report: &CrashReport) -> bool {
        let now = self.clock.now();
        let (key, report) = (key.to_owned(), report.clone());
        self.update(|evidence| evidence.record_direct(key, report, now))
    }

    fn update<T>(&self, change: impl FnOnce(&mut CrashEvidence) -> T) -> T {
        let (before, result, after) = {
            let mut evidence = self.evidence();
            let before = Arc::clone(evidence.blocked());
            let result = change(&mut evidence);
            (before, result, Arc::clone(evidence.blocked()))
        };
        if before != after {
            self.log_change(&before, &after);
            self.metrics.set_blocked_parts(after.parts().len());
        }
        self.changed.notify_one();
        result
    }

    fn log_change(&self, before: &BlockedParts, after: &BlockedParts) {
        for (part, blocked) in after.parts() {
            if before.parts().get(part) == Some(blocked) {
                continue;
            }
            let scope = match &blocked.scope {
                BlockScope::All => "all",
                BlockScope::Workspace(Some(workspace)) => workspace,
                BlockScope::Workspace(None) => "callers without a key",
            };
            let message = if blocked.is_request {
                "request crashes replicas; it is refused"
            } else {
                "prompt part crashes replicas; its requests are refused"
            };
            warn!(self.log, "{}", message;
                "part" => format!("{part:x}"), "crashes" => blocked.crashes, "workspaces" => scope);
        }
        let released = before.parts().keys();
        for part in released.filter(|part| !after.parts().contains_key(part)) {
            info!(self.log, "prompt part or request is no longer blocked"; "part" => format!("{part:x}"));
        }
    }

    fn evidence(&self) -> MutexGuard<'_, CrashEvidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, PendingCrashes> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn suspects(&self) -> MutexGuard<'_, HashMap<ReplicaId, Vec<UnansweredCall>>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the key of a daemon's report in the store.
fn report_key(report: &CrashReport, seen_by: SocketAddr) -> String {
    format!("{CRASHES_PREFIX}{}/{seen_by}", report.crash().name())
}
