use {
    super::{PromptPart, ReplicaId, leading_parts},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Most requests of one report.
const CALLS_MAX: usize = 16;

/// Most parts of one request in a report.
const PARTS_MAX: usize = 8;

/// One end of a replica's process; a restart makes a new one possible.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CrashId {
    /// The replica's id.
    pub replica: ReplicaId,
    /// Start time of the process that ended, in Unix milliseconds.
    pub started_ms: u64,
}

impl CrashId {
    /// Returns a short name, the same at each daemon.
    #[must_use]
    pub fn name(&self) -> String {
        let id = format!("{}.{}", self.replica, self.started_ms);
        format!("{:016x}", xxh3_64(id.as_bytes()))
    }
}

/// A request that its replica hadn't wholly answered when it crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct UnansweredCall {
    /// Hash of the request's id.
    pub call: u64,
    /// Hashes of the prompt's parts without the last one.
    pub parts: BTreeSet<u64>,
    /// The caller's workspace.
    pub workspace: Option<Arc<str>>,
}

impl UnansweredCall {
    /// Returns the record of a request; `None` if its prompt has no part that others may have.
    #[must_use]
    pub fn new(id: &str, prompt: &[PromptPart], workspace: Option<&str>) -> Option<Self> {
        let parts = leading_parts(prompt).iter().take(PARTS_MAX);
        let parts: BTreeSet<u64> = parts.map(|part| part.hash).collect();
        (!parts.is_empty()).then(|| Self {
            call: xxh3_64(id.as_bytes()),
            parts,
            workspace: workspace.map(Arc::from),
        })
    }
}

/// Why a report isn't valid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReportError {
    /// the report has {0} requests; 1 to 16 are allowed
    CallCount(usize),
    /// a request has {0} prompt parts; 1 to 8 are allowed
    PartCount(usize),
}

impl std::error::Error for ReportError {}

/// What one daemon saw of a replica's crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", try_from = "RawReport")]
pub struct CrashReport {
    calls: Vec<UnansweredCall>,
    crash: CrashId,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawReport {
    calls: Vec<UnansweredCall>,
    crash: CrashId,
}

impl CrashReport {
    /// Creates a report; further requests than the first 16 are left out.
    #[must_use]
    pub fn new(crash: CrashId, mut calls: Vec<UnansweredCall>) -> Self {
        calls.truncate(CALLS_MAX);
        Self { calls, crash }
    }

    /// Returns the requests that the replica hadn't wholly answered.
    #[must_use]
    pub fn calls(&self) -> &[UnansweredCall] {
        &self.calls
    }

    /// Returns the crash.
    #[must_use]
    pub fn crash(&self) -> &CrashId {
        &self.crash
    }
}

impl TryFrom<RawReport> for CrashReport {
    type Error = ReportError;

    fn try_from(raw: RawReport) -> Result<Self, ReportError> {
        let count = raw.calls.len();
        if !(1..=CALLS_MAX).contains(&count) {
            return Err(ReportError::CallCount(count));
        }
        let mut parts = raw.calls.iter().map(|call| call.parts.len());
        if let Some(count) = parts.find(|count| !(1..=PARTS_MAX).contains(count)) {
            return Err(ReportError::PartCount(count));
        }
        Ok(Self {
            calls: raw.calls,
            crash: raw.crash,
        })
    }
}
