use {
    super::{CrashId, CrashReport, PromptPart, UnansweredCall, leading_parts},
    crate::collections::{HashMap, HashSet},
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// Crashes after which a part is blocked if one request with it crashed two replicas in turn.
///
/// Replicas that crash at the same moment for another reason aren't crashed by one request in turn.
const CRASHES_IN_TURN_TO_BLOCK: usize = 3;

/// Crashes after which a part is blocked.
const CRASHES_TO_BLOCK: usize = 5;

/// Least requests with a part that is blocked.
const CALLS_TO_BLOCK: usize = 2;

/// What is known of a part besides its crashes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SoundNote {
    /// A replica answered a request with the part, which therefore isn't blocked.
    Answered,
    /// An operator lifted the block; the part is never blocked.
    Lifted,
}

/// The callers whose requests with a blocked part are refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlockScope {
    /// All callers.
    All,
    /// The only workspace whose requests crashed replicas.
    Workspace(Option<Arc<str>>),
}

/// A prompt part that crashes replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockedPart {
    /// Number of crashes on record.
    pub crashes: usize,
    /// The callers that are refused.
    pub scope: BlockScope,
}

/// The prompt parts whose requests aren't sent to replicas.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BlockedParts {
    parts: BTreeMap<u64, BlockedPart>,
}

impl BlockedParts {
    /// Returns the blocked parts by hash.
    #[must_use]
    pub fn parts(&self) -> &BTreeMap<u64, BlockedPart> {
        &self.parts
    }

    /// Returns the hash of the part for which a caller's request is refused, if any.
    #[must_use]
    pub fn find(&self, prompt: &[PromptPart], workspace: Option<&str>) -> Option<u64> {
        if self.parts.is_empty() {
            return None;
        }
        let refuses = |part: &&PromptPart| {
            let blocked = self.parts.get(&part.hash);
            blocked.is_some_and(|blocked| match &blocked.scope {
                BlockScope::All => true,
                BlockScope::Workspace(only) => only.as_deref() == workspace,
            })
        };
        let mut parts = leading_parts(prompt).iter();
        parts.find(refuses).map(|part| part.hash)
    }

    /// Decides which parts are blocked.
    ///
    /// Each crash counts once, however many daemons report it. Parts with a note aren't blocked: a
    /// part that crashes replicas is never answered, while one that many requests share is among
    /// the unanswered ones of every crash. Parts with most crashes are judged first; the crashes
    /// that they explain don't count against parts that were on the same replicas.
    #[must_use]
    pub fn judge<'a>(
        reports: impl Iterator<Item = &'a CrashReport>,
        notes: &HashMap<u64, SoundNote>,
    ) -> Self {
        let mut records: BTreeMap<u64, PartRecord<'a>> = BTreeMap::new();
        for report in reports {
            for call in report.calls() {
                for part in &call.parts {
                    records.entry(*part).or_default().add(report.crash(), call);
                }
            }
        }
        records.retain(|part, _| !notes.contains_key(part));
        let mut ranked: Vec<(u64, PartRecord<'a>)> = records.into_iter().collect();
        ranked.sort_by_key(|(_, record)| Reverse(record.crashes.len()));
        let mut blocked = Self::default();
        let mut explained: HashSet<&CrashId> = HashSet::default();
        let mut guilty: Vec<HashSet<&CrashId>> = Vec::new();
        for (part, record) in ranked {
            let in_same_calls = guilty.contains(&record.crashes);
            let unexplained = record.crashes.difference(&explained).count();
            if !in_same_calls && !record.is_guilty(unexplained) {
                continue;
            }
            explained.extend(&record.crashes);
            blocked.parts.insert(part, record.blocked());
            guilty.push(record.crashes);
        }
        blocked
    }
}

/// The crashes at which requests with one part were unanswered.
#[derive(Debug, Default)]
struct PartRecord<'a> {
    calls: HashMap<u64, HashSet<&'a CrashId>>,
    crashes: HashSet<&'a CrashId>,
    workspaces: HashSet<Option<&'a Arc<str>>>,
}

impl<'a> PartRecord<'a> {
    fn add(&mut self, crash: &'a CrashId, call: &'a UnansweredCall) {
        self.crashes.insert(crash);
        self.calls.entry(call.call).or_default().insert(crash);
        self.workspaces.insert(call.workspace.as_ref());
    }

    /// Returns whether the part is guilty of `unexplained` crashes.
    fn is_guilty(&self, unexplained: usize) -> bool {
        let in_turn = self.calls.values().any(|crashes| crashes.len() > 1);
        let crashes_min = if in_turn {
            CRASHES_IN_TURN_TO_BLOCK
        } else {
            CRASHES_TO_BLOCK
        };
        unexplained >= crashes_min && self.calls.len() >= CALLS_TO_BLOCK
    }

    fn blocked(&self) -> BlockedPart {
        let mut workspaces = self.workspaces.iter();
        let scope = match (workspaces.next(), workspaces.next()) {
            (Some(only), None) => BlockScope::Workspace(only.cloned()),
            _ => BlockScope::All,
        };
        BlockedPart {
            crashes: self.crashes.len(),
            scope,
        }
    }
}
