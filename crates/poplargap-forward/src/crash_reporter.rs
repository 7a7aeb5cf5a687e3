//! Writes crash reports and notes on sound prompt parts to the store.

use {
    crate::{
        crash_board::{CrashBoard, KeyedReport, SOUND_PREFIX},
        front_metrics::FrontMetrics,
    },
    poplargap_core::forward::{LostItem, MissingNote, PeerView},
    poplargap_store::{KeyValueStore, LeaseId, StoreError, StoreRevision, SwapOutcome, SwapWrite},
    rand::Rng,
    slog::{Logger, info, warn},
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, sleep},
    },
};

/// Time to live of reports and notes; a part is blocked for as long as its reports last.
const LEASE_TTL: Duration = Duration::from_mins(10);

/// Age above which a lease isn't used for further keys.
const LEASE_AGE_MAX: Duration = Duration::from_mins(4);

/// Age above which a key that couldn't be written is dropped.
const WRITE_AGE_MAX: Duration = Duration::from_mins(1);

/// Pause between two looks for missing notes while crashes are on record.
const NOTES_PAUSE: Duration = Duration::from_millis(250);

/// Longest random pause before a note, so that one daemon writes it and the others see it.
const NOTE_SPREAD: Duration = Duration::from_millis(150);

/// Most notes that are written at a time.
const NOTES_MAX: usize = 8;

/// Time after a loss in the store in which the first daemon in order writes the keys again; each further
/// daemon waits for that much longer.
const REWRITE_STEP: Duration = Duration::from_secs(3);

/// Longest random pause before a lost key is written again, which spreads the load on the store.
const REWRITE_SPREAD: Duration = Duration::from_millis(500);

/// Number of daemons that write a lost key again if those before them don't.
const REWRITERS: usize = 6;

/// Writes that may follow each other without a pause.
const BURST_MAX: u32 = 8;

/// Time after which one more write is allowed.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest pause after a failed write.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(150);

/// Longest pause after a failed write.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);

/// A key that has to be written.
#[derive(Debug)]
struct PendingWrite {
    /// Revision of the value that is replaced; the write is dropped if the key has another one.
    expected: Option<StoreRevision>,
    key: String,
    since: Instant,
    value: String,
}

/// Writes a daemon's evidence of crashes to the store.
#[derive(Debug)]
pub(crate) struct CrashReporter<S> {
    pub(crate) board: Arc<CrashBoard>,
    pub(crate) log: Logger,
    pub(crate) metrics: FrontMetrics,
    /// Address at which the other daemons know this one.
    pub(crate) own: Option<SocketAddr>,
    pub(crate) peers: watch::Receiver<Arc<PeerView>>,
    pub(crate) reports: mpsc::Receiver<KeyedReport>,
    pub(crate) store: S,
}

/// Writes reports and notes until the task is aborted.
pub(crate) async fn report_crashes<S: KeyValueStore>(mut reporter: CrashReporter<S>) {
    let mut lease = None;
    let mut pending = VecDeque::new();
    let mut allowance = WriteAllowance::new();
    loop {
        reporter.collect(&mut pending).await;
        while let Some(write) = pending.pop_front() {
            sleep(allowance.take()).await;
            if let Err(error) = reporter.write(&write, &mut lease).await {
                reporter.record_failure(write, &error, &mut pending);
                sleep(random_pause(RETRY_PAUSE_MIN, RETRY_PAUSE_MAX)).await;
                break;
            }
            reporter.metrics.record_crash_report("written");
        }
    }
}

impl<S: KeyValueStore> CrashReporter<S> {
    /// Waits for something to write, unless something is left.
    async fn collect(&mut self, pending: &mut VecDeque<PendingWrite>) {
        while let Ok(report) = self.reports.try_recv() {
            pending.extend(pending_report(&report));
        }
        if !pending.is_empty() {
            return;
        }
        let has_crashes = self.board.has_crashes();
        tokio::select! {
            report = self.reports.recv() => {
                pending.extend(report.as_ref().and_then(pending_report));
            }
            () = sleep(NOTES_PAUSE), if has_crashes => {
                self.collect_lost(pending).await;
                self.collect_notes(pending).await;
            }
            () = self.board.changed(), if !has_crashes => {}
        }
    }

    async fn collect_notes(&self, pending: &mut VecDeque<PendingWrite>) {
        if self.board.missing_notes().is_empty() {
            return;
        }
        sleep(random_pause(Duration::ZERO, NOTE_SPREAD)).await;
        let missing = self.board.missing_notes().into_iter().take(NOTES_MAX);
        for missing in missing {
            let MissingNote { note, part, .. } = missing;
            info!(self.log, "prompt part or request was answered, though replicas crashed beside it";
                "part" => format!("{part:x}"), "note" => ?note);
            pending.extend(pending_note(&missing));
            self.board.record_sent(&missing);
        }
    }

    /// Collects what the store lost when it came back from a copy, if this daemon is due to write it.
    ///
    /// The daemons of the fleet are in a different order for each key, so that one of them writes it
    /// and the others see it.
    async fn collect_lost(&self, pending: &mut VecDeque<PendingWrite>) {
        if !self.board.lost().iter().any(|lost| self.is_due(lost)) {
            return;
        }
        sleep(random_pause(Duration::ZERO, REWRITE_SPREAD)).await;
        let lost = self.board.lost();
        for (item, _) in lost.iter().filter(|lost| self.is_due(lost)).take(NOTES_MAX) {
            let Some(write) = pending_rewrite(item) else {
                continue;
            };
            info!(self.log, "evidence that the store lost is written again"; "key" => &write.key);
            self.metrics.record_crash_report("rewritten");
            self.board.record_resent(item);
            pending.push_back(write);
        }
    }

    /// Returns whether it is this daemon's turn to write a lost key again.
    fn is_due(&self, (item, lost_for): &(LostItem, Duration)) -> bool {
        let rank = self
            .own
            .map_or(0, |own| self.peers.borrow().rank(own, &lost_key(item)));
        let first = REWRITE_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        rank < REWRITERS && *lost_for >= first
    }

    /// Writes a key unless it has been written since.
    async fn write(
        &self,
        pending: &PendingWrite,
        lease: &mut Option<(LeaseId, Instant)>,
    ) -> Result<(), StoreError> {
        let era = self.store.eras().current();
        if pending
            .expected
            .is_some_and(|expected| expected.era() != era)
        {
            info!(self.log, "note isn't written, since it replaces one of an earlier era";
                "key" => &pending.key, "era" => era.number());
            return Ok(());
        }
        let id = match lease {
            Some((id, granted)) if granted.elapsed() < LEASE_AGE_MAX && id.era() == era => *id,
            _ => {
                let granted = Instant::now();
                let id = self.store.grant_lease(LEASE_TTL).await?.id;
                *lease = Some((id, granted));
                id
            }
        };
        let write = SwapWrite {
            expected: pending.expected,
            key: pending.key.clone(),
            lease: Some(id),
            value: Some(pending.value.clone()),
        };
        match self.store.swap(&write).await {
            SwapOutcome::Applied(_) | SwapOutcome::Conflict(_) => Ok(()),
            SwapOutcome::Failed(error) | SwapOutcome::Unknown(error) => {
                *lease = None;
                Err(error)
            }
        }
    }

    fn record_failure(
        &self,
        write: PendingWrite,
        error: &StoreError,
        pending: &mut VecDeque<PendingWrite>,
    ) {
        let is_dropped = write.since.elapsed() > WRITE_AGE_MAX;
        warn!(self.log, "evidence of a crash can't be written"; "key" => &write.key,
            "error" => %error, "dropped" => is_dropped);
        if is_dropped {
            self.metrics.record_crash_report("dropped");
        } else {
            pending.push_front(write);
        }
    }
}

fn random_pause(min: Duration, max: Duration) -> Duration {
    rand::rng().random_range(min..max)
}

fn pending_report(report: &KeyedReport) -> Option<PendingWrite> {
    Some(PendingWrite {
        expected: None,
        key: report.key.clone(),
        since: Instant::now(),
        value: serde_json::to_string(&report.report).ok()?,
    })
}

fn pending_note(missing: &MissingNote) -> Option<PendingWrite> {
    Some(PendingWrite {
        expected: missing.replaces,
        key: format!("{SOUND_PREFIX}{:x}", missing.part),
        since: Instant::now(),
        value: serde_json::to_string(&missing.note).ok()?,
    })
}

fn lost_key(item: &LostItem) -> String {
    match item {
        LostItem::Note(part, _) => format!("{SOUND_PREFIX}{part:x}"),
        LostItem::Report(key, _) => key.clone(),
    }
}

fn pending_rewrite(item: &LostItem) -> Option<PendingWrite> {
    let value = match item {
        LostItem::Note(_, note) => serde_json::to_string(note),
        LostItem::Report(_, report) => serde_json::to_string(report),
    };
    Some(PendingWrite {
        expected: None,
        key: lost_key(item),
        since: Instant::now(),
        value: value.ok()?,
    })
}

/// Bounds the writes of a daemon, as when many replicas crash at once.
#[derive(Debug)]
struct WriteAllowance {
    left: u32,
    since: Instant,
}

impl WriteAllowance {
    fn new() -> Self {
        Self {
            left: BURST_MAX,
            since: Instant::now(),
        }
    }

    /// Takes one write and returns the pause before it.
    fn take(&mut self) -> Duration {
        while self.left < BURST_MAX && self.since.elapsed() >= WRITE_INTERVAL {
            self.left += 1;
            self.since += WRITE_INTERVAL;
        }
        if self.left == BURST_MAX {
            self.since = Instant::now();
        }
        if self.left == 0 {
            let pause = WRITE_INTERVAL.saturating_sub(self.since.elapsed());
            self.since += WRITE_INTERVAL;
            return pause;
        }
        self.left -= 1;
        Duration::ZERO
    }
}
