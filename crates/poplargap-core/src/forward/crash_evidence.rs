use {
    super::{
        BlockedParts, CrashId, CrashReport, RequestIdentity, SoundNote, SoundParts, UnansweredCall,
        blocked_parts::count_crash_times, repeated_parts,
    },
    crate::{
        collections::{HashMap, HashSet},
        instant::MonotonicInstant,
        store_position::StoreRevision,
    },
    std::{sync::Arc, time::Duration},
};

/// Most reports from the store that are kept; the oldest are dropped.
const STORED_MAX: usize = 1_024;

/// Most reports of the daemon itself and of its peers that are kept; the oldest are dropped.
const DIRECT_MAX: usize = 256;

/// Time for which a report that didn't come from the store is kept.
const DIRECT_TIME: Duration = Duration::from_mins(10);

/// Crashes of a part from which an answer to a request with it is noted in the store, and a request
/// with it isn't sent again after a crash.
const SUSPICIOUS_CRASHES: usize = 2;

/// Attempts of one request that may end with an unanswered crash.
const UNANSWERED_MAX: u32 = 2;

/// Whether the store has a key.
#[derive(Clone, Copy, Debug)]
enum KeyPlace {
    /// The store came back from a copy without the key, as was read at this time.
    Lost(MonotonicInstant),
    /// The daemon is writing the key in place of a revision, if there is one.
    Sent {
        at: MonotonicInstant,
        replaces: Option<StoreRevision>,
    },
    /// The store has the key at this revision.
    Stored(StoreRevision),
}

impl KeyPlace {
    /// Returns the revision that a write has to replace.
    fn revision(self) -> Option<StoreRevision> {
        match self {
            Self::Lost(_) => None,
            Self::Sent { replaces, .. } => replaces,
            Self::Stored(revision) => Some(revision),
        }
    }

    /// Returns the time since which the key has been lost.
    fn lost_at(self) -> Option<MonotonicInstant> {
        match self {
            Self::Lost(at) => Some(at),
            Self::Sent { .. } | Self::Stored(_) => None,
        }
    }

    /// Returns the time since which the store hasn't had the key.
    fn missing_since(self) -> Option<MonotonicInstant> {
        match self {
            Self::Lost(at) | Self::Sent { at, .. } => Some(at),
            Self::Stored(_) => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct StoredNote {
    note: SoundNote,
    place: KeyPlace,
}

#[derive(Debug)]
struct StoredReport {
    /// Number of the report in the order of arrival.
    number: u64,
    place: KeyPlace,
    report: CrashReport,
}

#[derive(Debug)]
struct DirectReport {
    at: MonotonicInstant,
    report: CrashReport,
}

/// The crashes of replicas with unanswered requests, and what is known of the parts of prompts.
///
/// The reports of all daemons come from the store, so that each daemon blocks the same parts, also
/// one that has just started. Those that peers send directly count while the store lacks them, as
/// when it doesn't respond.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    blocked: Arc<BlockedParts>,
    /// The parts that were unanswered at two crashes or more.
    crashes: HashMap<u64, PartCrashes>,
    notes: HashMap<u64, StoredNote>,
    direct: HashMap<String, DirectReport>,
    sound: SoundParts,
    stored: HashMap<String, StoredReport>,
    /// Number of reports that came from the store so far.
    stored_count: u64,
}

impl CrashEvidence {
    /// Returns the parts whose requests aren't sent to replicas.
    #[must_use]
    pub fn blocked(&self) -> &Arc<BlockedParts> {
        &self.blocked
    }

    /// Adds a report of the daemon itself or of a peer; returns `false` if it is on record already.
    pub fn record_direct(
        &mut self,
        key: String,
        report: CrashReport,
        now: MonotonicInstant,
    ) -> bool {
        self.expire(now);
        if self.stored.contains_key(&key) || self.direct.contains_key(&key) {
            return false;
        }
        if self.direct.len() >= DIRECT_MAX {
            let oldest = self.direct.iter().min_by_key(|(_, direct)| direct.at);
            if let Some(key) = oldest.map(|(key, _)| key.clone()) {
                self.direct.remove(&key);
            }
        }
        self.direct.insert(key, DirectReport { at: now, report });
        self.update(now);
        true
    }

    /// Drops the reports of the daemon itself and of its peers, and what the store has lost, when it is
    /// too old.
    pub fn expire(&mut self, now: MonotonicInstant) {
        let before = self.direct.len() + self.stored.len() + self.notes.len();
        let is_kept = |place: KeyPlace| {
            let since = place.missing_since();
            since.is_none_or(|at| now.since(at) < DIRECT_TIME)
        };
        self.direct
            .retain(|_, direct| now.since(direct.at) < DIRECT_TIME);
        self.stored.retain(|_, stored| is_kept(stored.place));
        self.notes.retain(|_, stored| is_kept(stored.place));
        if self.direct.len() + self.stored.len() + self.notes.len() < before {
            self.update(now);
        }
    }

    /// Adds reports and notes from the store, and removes those without a value.
    pub fn apply(&mut self, changes: Vec<EvidenceChange>, now: MonotonicInstant) {
        for change in changes {
            match change {
                EvidenceChange::Note(part, Some((revision, note))) => {
                    let place = KeyPlace::Stored(revision);
                    self.notes.insert(part, StoredNote { note, place });
                }
                EvidenceChange::Note(part, None) => drop(self.notes.remove(&part)),
                EvidenceChange::Report(key, None) => drop(self.stored.remove(&key)),
                EvidenceChange::Report(key, Some((revision, report))) => {
                    self.stored_count += 1;
                    let stored = StoredReport {
                        number: self.stored_count,
                        place: KeyPlace::Stored(revision),
                        report,
                    };
                    self.stored.insert(key, stored);
                }
            }
        }
        self.drop_oldest();
        self.update(now);
    }

    /// Replaces everything that the store has; what it lost has to be written again and is kept.
    pub fn replace(&mut self, listing: EvidenceListing, now: MonotonicInstant) {
        self.notes.retain(|part, stored| {
            stored.place.missing_since().is_some() || listing.has_changed_note(*part)
        });
        self.stored.retain(|key, stored| {
            stored.place.missing_since().is_some() || listing.has_changed_report(key)
        });
        self.apply(listing.into_unchanged(), now);
    }

    /// Takes over a listing of a store that came back from a copy; what the copy lacks is kept, since
    /// it has to be written again.
    pub fn replace_in_new_era(&mut self, listing: EvidenceListing, now: MonotonicInstant) {
        let lost = KeyPlace::Lost(now);
        for (part, note) in &mut self.notes {
            if !listing.has_changed_note(*part) {
                note.place = lost;
            }
        }
        for (key, report) in &mut self.stored {
            if !listing.has_changed_report(key) {
                report.place = lost;
            }
        }
        self.apply(listing.into_unchanged(), now);
    }

    /// Returns what the store lost and this daemon still has.
    #[must_use]
    pub fn lost(&self) -> Vec<LostEvidence> {
        let notes = self.notes.iter().filter_map(|(part, stored)| {
            let at = stored.place.lost_at()?;
            let item = LostItem::Note(*part, stored.note);
            Some(LostEvidence { at, item })
        });
        let reports = self.stored.iter().filter_map(|(key, stored)| {
            let at = stored.place.lost_at()?;
            let item = LostItem::Report(key.clone(), stored.report.clone());
            Some(LostEvidence { at, item })
        });
        notes.chain(reports).collect()
    }

    /// Records that this daemon is writing a lost key again.
    pub fn record_resent(&mut self, item: &LostItem, now: MonotonicInstant) {
        let sent = KeyPlace::Sent {
            at: now,
            replaces: None,
        };
        let place = match item {
            LostItem::Note(part, _) => self.notes.get_mut(part).map(|note| &mut note.place),
            LostItem::Report(key, _) => self.stored.get_mut(key).map(|report| &mut report.place),
        };
        if let Some(place) = place {
            *place = sent;
        }
    }

    /// Records that this daemon is writing a note.
    pub fn record_sent(&mut self, missing: &MissingNote, now: MonotonicInstant) {
        let note = StoredNote {
            note: missing.note,
            place: KeyPlace::Sent {
                at: now,
                replaces: missing.replaces,
            },
        };
        self.notes.insert(missing.part, note);
        self.update(now);
    }

    /// Records that a replica, started at `started_ms`, answered a request.
    pub fn record_answer(
        &mut self,
        identity: &RequestIdentity,
        started_ms: u64,
        now: MonotonicInstant,
    ) {
        self.sound.record(identity, started_ms, now);
    }

    /// Returns the notes that the store lacks on parts under suspicion which this daemon has seen
    /// in an answer.
    #[must_use]
    pub fn missing_notes(&self, now: MonotonicInstant) -> Vec<MissingNote> {
        let crashes = self.crashes.iter();
        let suspicious = crashes.filter(|(_, crashes)| crashes.count >= SUSPICIOUS_CRASHES);
        suspicious
            .filter_map(|(part, crashes)| {
                let answered_by = self.sound.answered_by(*part, now)?;
                let started_ms = answered_by.min(crashes.newest_started_ms);
                let note = SoundNote::Answered { started_ms };
                let stored = self.notes.get(part);
                if stored.is_some_and(|stored| stored.note.merge(note) == stored.note) {
                    return None;
                }
                Some(MissingNote {
                    note,
                    part: *part,
                    replaces: stored.and_then(|stored| stored.place.revision()),
                })
            })
            .collect()
    }

    /// Returns the number of reports on record.
    #[must_use]
    pub fn report_count(&self) -> usize {
        let direct = self.direct.keys();
        self.stored.len() + direct.filter(|key| !self.stored.contains_key(*key)).count()
    }

    /// Returns whether a request and its parts are all known from answers.
    #[must_use]
    pub fn is_sound(&self, identity: &RequestIdentity, now: MonotonicInstant) -> bool {
        let mut hashes = identity.hashes();
        hashes.all(|hash| self.note(hash, now).is_some())
    }

    /// Returns whether a request may be sent again after `unanswered` of its attempts ended with a
    /// broken connection before the answer was whole.
    ///
    /// Each retry of a request that crashes replicas costs another one, and all its streams.
    #[must_use]
    pub fn may_retry(
        &self,
        identity: &RequestIdentity,
        unanswered: u32,
        now: MonotonicInstant,
    ) -> bool {
        if unanswered == 0 || self.is_sound(identity, now) {
            return true;
        }
        let mut hashes = identity.hashes();
        let is_suspicious = hashes.any(|hash| {
            let crashes = self.crashes.get(&hash);
            crashes.is_some_and(|crashes| crashes.uncleared >= SUSPICIOUS_CRASHES)
        });
        unanswered < UNANSWERED_MAX && !is_suspicious
    }

    /// Returns what is known of a part from the store and from this daemon's own answers.
    fn note(&self, part: u64, now: MonotonicInstant) -> Option<SoundNote> {
        let stored = self.notes.get(&part).map(|stored| stored.note);
        let answered_by = self.sound.answered_by(part, now);
        let own = answered_by.map(|started_ms| SoundNote::Answered { started_ms });
        match (stored, own) {
            (Some(stored), Some(own)) => Some(stored.merge(own)),
            (stored, own) => stored.or(own),
        }
    }

    fn drop_oldest(&mut self) {
        if self.stored.len() <= STORED_MAX {
            return;
        }
        let mut numbers: Vec<u64> = self.stored.values().map(|report| report.number).collect();
        let excess = numbers.len() - STORED_MAX;
        let (_, oldest, _) = numbers.select_nth_unstable(excess);
        let oldest = *oldest;
        self.stored.retain(|_, report| report.number >= oldest);
    }

    /// Judges the parts anew; answers that this daemon saw count before the store has their note.
    fn update(&mut self, now: MonotonicInstant) {
        let stored = self.stored.values().map(|stored| &stored.report);
        let direct = self
            .direct
            .iter()
            .filter(|(key, _)| !self.stored.contains_key(*key));
        let reports: Vec<&CrashReport> = stored
            .chain(direct.map(|(_, direct)| &direct.report))
            .collect();
        let parts = repeated_parts(&reports, SUSPICIOUS_CRASHES);
        let notes = parts.iter();
        let notes: HashMap<u64, SoundNote> = notes
            .filter_map(|part| Some((*part, self.note(*part, now)?)))
            .collect();
        self.crashes = count_crashes(&reports, &parts, &notes);
        let blocked = BlockedParts::judge(&reports, &parts, &notes);
        if *self.blocked != blocked {
            self.blocked = Arc::new(blocked);
        }
    }
}

/// The key of a piece of evidence.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum EvidenceKey {
    /// The note on the part with this hash.
    Note(u64),
    /// The report under this key.
    Report(String),
}

/// A change of the evidence in the store; without a value, the key is removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvidenceChange {
    /// The note on a part, with the revision of its write.
    Note(u64, Option<(StoreRevision, SoundNote)>),
    /// The report under a key, with the revision of its write.
    Report(String, Option<(StoreRevision, CrashReport)>),
}

impl EvidenceChange {
    /// Returns the key that is changed.
    #[must_use]
    pub fn key(&self) -> EvidenceKey {
        match self {
            Self::Note(part, _) => EvidenceKey::Note(*part),
            Self::Report(key, _) => EvidenceKey::Report(key.clone()),
        }
    }
}

/// A listing of the evidence in the store, which other changes may have overtaken.
#[derive(Clone, Debug, Default)]
pub struct EvidenceListing {
    /// Keys that were changed after the listing began; they stay as they are.
    pub changed: HashSet<EvidenceKey>,
    /// The listed reports and notes.
    pub values: Vec<EvidenceChange>,
}

impl EvidenceListing {
    fn has_changed_note(&self, part: u64) -> bool {
        self.changed.contains(&EvidenceKey::Note(part))
    }

    fn has_changed_report(&self, key: &str) -> bool {
        !self.changed.is_empty() && self.changed.contains(&EvidenceKey::Report(key.to_owned()))
    }

    fn into_unchanged(mut self) -> Vec<EvidenceChange> {
        if !self.changed.is_empty() {
            self.values
                .retain(|value| !self.changed.contains(&value.key()));
        }
        self.values
    }
}

/// A note on a part that the store lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MissingNote {
    /// The note.
    pub note: SoundNote,
    /// Hash of the part.
    pub part: u64,
    /// Revision of the note that it replaces.
    pub replaces: Option<StoreRevision>,
}

/// A key that the store lost when it came back from a copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LostItem {
    /// The note on the part with this hash.
    Note(u64, SoundNote),
    /// The report under this key.
    Report(String, CrashReport),
}

/// A lost key, which has to be written again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostEvidence {
    /// When the daemon read that the store lacks it.
    pub at: MonotonicInstant,
    /// The key and its value.
    pub item: LostItem,
}

/// The crashes on record for one part.
#[derive(Clone, Copy, Debug, Default)]
struct PartCrashes {
    count: usize,
    /// Newest start time of a replica that crashed, in Unix milliseconds.
    newest_started_ms: u64,
    /// Crashes that no answer clears, as they count towards a block.
    uncleared: usize,
}

/// Counts the crashes on record for each of `parts`.
fn count_crashes(
    reports: &[&CrashReport],
    parts: &HashSet<u64>,
    notes: &HashMap<u64, SoundNote>,
) -> HashMap<u64, PartCrashes> {
    let mut crashes: HashMap<u64, HashMap<&CrashId, u64>> = HashMap::default();
    for report in reports {
        let hashes = report.calls().iter().flat_map(UnansweredCall::hashes);
        for part in hashes.filter(|part| parts.contains(part)) {
            let times = crashes.entry(part).or_default();
            times.entry(report.crash()).or_insert(report.at_ms());
        }
    }
    let counts = crashes.into_iter().map(|(part, crashes)| {
        let note = notes.get(&part);
        let is_cleared = |crash: &CrashId| note.is_some_and(|note| note.clears(crash));
        let started = crashes.keys().map(|crash| crash.started_ms);
        let uncleared = crashes.iter().filter(|(crash, _)| !is_cleared(crash));
        let times = uncleared.map(|(_, at_ms)| *at_ms).collect();
        let counted = PartCrashes {
            count: crashes.len(),
            newest_started_ms: started.max().unwrap_or(0),
            uncleared: count_crash_times(times, note.is_some()),
        };
        (part, counted)
    });
    counts.collect()
}
