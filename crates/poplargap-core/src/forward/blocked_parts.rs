use {
    super::{CrashId, CrashReport, RequestIdentity, UnansweredCall},
    crate::collections::{HashMap, HashSet},
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// Crashes after which a request is blocked, and a part if one request with it crashed two replicas in
/// turn.
///
/// Replicas that crash at the same moment for another reason aren't crashed by one request in turn.
const CRASHES_IN_TURN_TO_BLOCK: usize = 3;

/// Crashes after which a part is blocked.
const CRASHES_TO_BLOCK: usize = 5;

/// Least requests with a part that is blocked.
const CALLS_TO_BLOCK: usize = 2;

/// Time within which crashes count as one against a part that replicas have answered, in
/// milliseconds; replicas that crash together crash for another reason.
const TOGETHER_MS: u64 = 300;

/// What is known of a part besides its crashes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum SoundNote {
    /// Replicas answered requests with the part.
    Answered {
        /// Newest start time of these replicas, in Unix milliseconds.
        started_ms: u64,
    },
    /// An operator lifted the block; the part is never blocked.
    Lifted,
}

impl SoundNote {
    /// Returns whether a crash doesn't count against the part.
    ///
    /// An answer of a replica says nothing about replicas that started later, as after a release.
    #[must_use]
    pub fn clears(self, crash: &CrashId) -> bool {
        match self {
            Self::Answered { started_ms } => crash.started_ms <= started_ms,
            Self::Lifted => true,
        }
    }

    /// Returns the note that holds more of two: a lift, or the answer of the newer replica.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Answered { started_ms: own }, Self::Answered { started_ms }) => Self::Answered {
                started_ms: own.max(started_ms),
            },
            _ => Self::Lifted,
        }
    }
}

/// The callers whose requests with a blocked part are refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlockScope {
    /// All callers.
    All,
    /// The only workspace whose requests crashed replicas.
    Workspace(Option<Arc<str>>),
}

/// A prompt part, or a whole request, that crashes replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockedPart {
    /// Number of crashes on record.
    pub crashes: usize,
    /// Whether it is a request, recognised by itself, in place of a part.
    pub is_request: bool,
    /// The callers that are refused.
    pub scope: BlockScope,
}

/// The prompt parts and the requests that aren't sent to replicas.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BlockedParts {
    parts: BTreeMap<u64, BlockedPart>,
}

impl BlockedParts {
    /// Returns the blocked parts and requests by hash.
    #[must_use]
    pub fn parts(&self) -> &BTreeMap<u64, BlockedPart> {
        &self.parts
    }

    /// Returns the hash for which a caller's request is refused, if any.
    #[must_use]
    pub fn find(&self, identity: &RequestIdentity, workspace: Option<&str>) -> Option<u64> {
        if self.parts.is_empty() {
            return None;
        }
        identity.hashes().find(|hash| {
            let blocked = self.parts.get(hash);
            blocked.is_some_and(|blocked| match &blocked.scope {
                BlockScope::All => true,
                BlockScope::Workspace(only) => only.as_deref() == workspace,
            })
        })
    }

    /// Decides which parts are blocked.
    ///
    /// Each crash counts once, however many daemons report it, and not against parts whose note
    /// clears it: a part that crashes replicas is never answered by them, while one that many
    /// requests share is among the unanswered ones of every crash. Parts that were never answered
    /// are judged first, those with most crashes before the others; the crashes that they explain
    /// don't count against parts that were on the same replicas.
    ///
    /// Only `parts` are judged; they must include all that were at as many crashes as block a part.
    #[must_use]
    pub fn judge<'a>(
        reports: &[&'a CrashReport],
        parts: &HashSet<u64>,
        notes: &HashMap<u64, SoundNote>,
    ) -> Self {
        let mut records: BTreeMap<u64, PartRecord<'a>> = BTreeMap::new();
        for report in reports {
            for call in report.calls() {
                for part in call.hashes().filter(|part| parts.contains(part)) {
                    let note = notes.get(&part);
                    if note.is_some_and(|note| note.clears(report.crash())) {
                        continue;
                    }
                    let record = records.entry(part).or_default();
                    record.was_answered = note.is_some();
                    record.is_own = call.own == Some(part);
                    record.add(report, call);
                }
            }
        }
        let mut ranked: Vec<(u64, PartRecord<'a>)> = records.into_iter().collect();
        ranked.sort_by_key(|(_, record)| (record.was_answered, Reverse(record.crashes.len())));
        let mut blocked = Self::default();
        let mut explained: HashSet<&CrashId> = HashSet::default();
        let mut guilty: Vec<PartRecord<'a>> = Vec::new();
        for (part, record) in ranked {
            let in_same_calls = guilty.iter().any(|guilty| record.is_beside(guilty));
            if !in_same_calls && !record.is_guilty(&explained) {
                continue;
            }
            explained.extend(record.crashes.keys());
            blocked.parts.insert(part, record.blocked());
            guilty.push(record);
        }
        blocked
    }
}

/// The crashes at which requests with one part were unanswered.
#[derive(Debug, Default)]
struct PartRecord<'a> {
    calls: HashMap<u64, HashSet<&'a CrashId>>,
    /// The crashes with their times in Unix milliseconds.
    crashes: HashMap<&'a CrashId, u64>,
    /// Whether it is the hash of a request, not of a part that requests share.
    is_own: bool,
    was_answered: bool,
    workspaces: HashSet<Option<&'a Arc<str>>>,
}

impl<'a> PartRecord<'a> {
    fn add(&mut self, report: &'a CrashReport, call: &'a UnansweredCall) {
        let crash = report.crash();
        let at_ms = self.crashes.entry(crash).or_insert(report.at_ms());
        *at_ms = report.at_ms().min(*at_ms);
        self.calls.entry(call.call).or_default().insert(crash);
        self.workspaces.insert(call.workspace.as_ref());
    }

    /// Returns whether the part was in the same crashes as a guilty one and can't be told from it.
    fn is_beside(&self, guilty: &Self) -> bool {
        self.was_answered == guilty.was_answered
            && self.crashes.len() == guilty.crashes.len()
            && self
                .crashes
                .keys()
                .all(|crash| guilty.crashes.contains_key(crash))
    }

    /// Returns whether the part is guilty of the crashes that aren't explained.
    fn is_guilty(&self, explained: &HashSet<&CrashId>) -> bool {
        let in_turn = self.calls.values().any(|crashes| crashes.len() > 1);
        let crashes_min = if in_turn || self.is_own {
            CRASHES_IN_TURN_TO_BLOCK
        } else {
            CRASHES_TO_BLOCK
        };
        let crashes = self.crashes.iter();
        let unexplained = crashes.filter(|(crash, _)| !explained.contains(*crash));
        let times: Vec<u64> = unexplained.map(|(_, at_ms)| *at_ms).collect();
        let count = count_crash_times(times, self.was_answered);
        count >= crashes_min && self.calls.len() >= CALLS_TO_BLOCK
    }

    fn blocked(&self) -> BlockedPart {
        let mut workspaces = self.workspaces.iter();
        let scope = match (workspaces.next(), workspaces.next()) {
            (Some(only), None) => BlockScope::Workspace(only.cloned()),
            _ => BlockScope::All,
        };
        BlockedPart {
            crashes: self.crashes.len(),
            is_request: self.is_own,
            scope,
        }
    }
}

/// Counts crashes by their times in Unix milliseconds.
///
/// Those that come together count once against a part that replicas have answered.
pub(super) fn count_crash_times(mut times: Vec<u64>, was_answered: bool) -> usize {
    if !was_answered {
        return times.len();
    }
    times.sort_unstable();
    let mut count = 0;
    let mut counted_until = None;
    for time in times {
        if counted_until.is_none_or(|until| time > until) {
            count += 1;
            counted_until = Some(time.saturating_add(TOGETHER_MS));
        }
    }
    count
}
