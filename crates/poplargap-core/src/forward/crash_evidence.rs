use {
    super::{BlockedParts, CrashId, CrashReport, PromptPart, SoundNote, SoundParts, leading_parts},
    crate::{
        collections::{HashMap, HashSet},
        instant::MonotonicInstant,
    },
    std::{sync::Arc, time::Duration},
};

/// Most reports from the store that are kept; the oldest are dropped.
const STORED_MAX: usize = 1_024;

/// Most reports of the daemon itself that are kept; the oldest are dropped.
const OWN_MAX: usize = 256;

/// Time for which a report of the daemon itself is kept.
const OWN_TIME: Duration = Duration::from_mins(10);

/// Crashes of a part from which an answer to a request with it is noted in the store, and a request
/// with it isn't sent again after a crash.
const SUSPICIOUS_CRASHES: usize = 2;

/// Attempts of one request that may end with an unanswered crash.
const UNANSWERED_MAX: u32 = 2;

#[derive(Debug)]
struct StoredReport {
    report: CrashReport,
    revision: u64,
}

#[derive(Debug)]
struct OwnReport {
    at: MonotonicInstant,
    report: CrashReport,
}

/// The crashes of replicas with unanswered requests, and what is known of the parts of prompts.
///
/// The reports of all daemons come from the store, so that each daemon blocks the same parts, also
/// one that has just started.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    blocked: Arc<BlockedParts>,
    crashes: HashMap<u64, usize>,
    notes: HashMap<u64, SoundNote>,
    own: HashMap<String, OwnReport>,
    sound: SoundParts,
    stored: HashMap<String, StoredReport>,
}

impl CrashEvidence {
    /// Returns the parts whose requests aren't sent to replicas.
    #[must_use]
    pub fn blocked(&self) -> &Arc<BlockedParts> {
        &self.blocked
    }

    /// Adds a report that the daemon made itself, whether or not the store has it already.
    pub fn record_own(&mut self, key: String, report: CrashReport, now: MonotonicInstant) {
        self.expire(now);
        if self.own.len() >= OWN_MAX {
            let oldest = self.own.iter().min_by_key(|(_, own)| own.at);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.own.remove(&key);
            }
        }
        self.own.insert(key, OwnReport { at: now, report });
        self.update(now);
    }

    /// Drops the daemon's own reports that are too old.
    pub fn expire(&mut self, now: MonotonicInstant) {
        let before = self.own.len();
        self.own.retain(|_, own| now.since(own.at) < OWN_TIME);
        if self.own.len() < before {
            self.update(now);
        }
    }

    /// Adds reports and notes from the store, and removes those without a value.
    pub fn apply(&mut self, changes: Vec<EvidenceChange>, now: MonotonicInstant) {
        for change in changes {
            match change {
                EvidenceChange::Note(part, Some(note)) => drop(self.notes.insert(part, note)),
                EvidenceChange::Note(part, None) => drop(self.notes.remove(&part)),
                EvidenceChange::Report(key, None) => drop(self.stored.remove(&key)),
                EvidenceChange::Report(key, Some((revision, report))) => {
                    self.stored.insert(key, StoredReport { report, revision });
                }
            }
        }
        self.drop_oldest();
        self.update(now);
    }

    /// Replaces everything that came from the store.
    pub fn replace(&mut self, changes: Vec<EvidenceChange>, now: MonotonicInstant) {
        self.notes.clear();
        self.stored.clear();
        self.apply(changes, now);
    }

    /// Records that a replica answered a request with this prompt.
    pub fn record_answer(&mut self, prompt: &[PromptPart], now: MonotonicInstant) {
        self.sound.record(leading_parts(prompt), now);
    }

    /// Returns the parts under suspicion that this daemon has seen in an answer, but that have no
    /// note in the store.
    #[must_use]
    pub fn missing_notes(&self, now: MonotonicInstant) -> Vec<u64> {
        let suspicious = self.crashes.iter();
        suspicious
            .filter(|(part, crashes)| {
                **crashes >= SUSPICIOUS_CRASHES
                    && !self.notes.contains_key(part)
                    && self.sound.is_sound(**part, now)
            })
            .map(|(part, _)| *part)
            .collect()
    }

    /// Returns the number of reports on record.
    #[must_use]
    pub fn report_count(&self) -> usize {
        let own = self.own.keys();
        self.stored.len() + own.filter(|key| !self.stored.contains_key(*key)).count()
    }

    /// Returns whether a request's parts are all known from answers.
    #[must_use]
    pub fn is_sound(&self, prompt: &[PromptPart], now: MonotonicInstant) -> bool {
        let mut parts = leading_parts(prompt).iter();
        parts.all(|part| self.notes.contains_key(&part.hash) || self.sound.is_sound(part.hash, now))
    }

    /// Returns whether a request may be sent again after `unanswered` of its attempts ended with a
    /// broken connection before the answer was whole.
    ///
    /// Each retry of a request that crashes replicas costs another one, and all its streams.
    #[must_use]
    pub fn may_retry(&self, prompt: &[PromptPart], unanswered: u32, now: MonotonicInstant) -> bool {
        if unanswered == 0 || self.is_sound(prompt, now) {
            return true;
        }
        let mut parts = leading_parts(prompt).iter();
        let is_suspicious = parts.any(|part| {
            let crashes = self.crashes.get(&part.hash).copied().unwrap_or(0);
            crashes >= SUSPICIOUS_CRASHES && !self.notes.contains_key(&part.hash)
        });
        unanswered < UNANSWERED_MAX && !is_suspicious
    }

    fn drop_oldest(&mut self) {
        if self.stored.len() <= STORED_MAX {
            return;
        }
        let mut revisions: Vec<u64> = self.stored.values().map(|report| report.revision).collect();
        let excess = revisions.len() - STORED_MAX;
        let (_, oldest, _) = revisions.select_nth_unstable(excess);
        let oldest = *oldest;
        self.stored.retain(|_, report| report.revision >= oldest);
    }

    /// Judges the parts anew; answers that this daemon saw count before the store has their note.
    fn update(&mut self, now: MonotonicInstant) {
        let stored = self.stored.values().map(|stored| &stored.report);
        let own = self
            .own
            .iter()
            .filter(|(key, _)| !self.stored.contains_key(*key));
        let reports: Vec<&CrashReport> = stored.chain(own.map(|(_, own)| &own.report)).collect();
        self.crashes = count_crashes(&reports);
        let parts = self.crashes.keys();
        let answered = parts.filter(|part| self.sound.is_sound(**part, now));
        let mut notes: HashMap<u64, SoundNote> =
            answered.map(|part| (*part, SoundNote::Answered)).collect();
        notes.extend(self.notes.iter().map(|(part, note)| (*part, *note)));
        let blocked = BlockedParts::judge(reports.into_iter(), &notes);
        if *self.blocked != blocked {
            self.blocked = Arc::new(blocked);
        }
    }
}

/// A change of the evidence in the store; without a value, the key is removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvidenceChange {
    /// The note on a part.
    Note(u64, Option<SoundNote>),
    /// The report under a key, with the revision of its write.
    Report(String, Option<(u64, CrashReport)>),
}

/// Counts the crashes on record for each part.
fn count_crashes(reports: &[&CrashReport]) -> HashMap<u64, usize> {
    let mut crashes: HashMap<u64, HashSet<&CrashId>> = HashMap::default();
    for report in reports {
        let parts = report.calls().iter().flat_map(|call| &call.parts);
        for part in parts {
            crashes.entry(*part).or_default().insert(report.crash());
        }
    }
    let counts = crashes.into_iter();
    counts
        .map(|(part, crashes)| (part, crashes.len()))
        .collect()
}
