use {
    super::{PromptPart, ReplicaId, leading_parts},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Most requests of one report.
const CALLS_MAX: usize = 16;

/// Most prompt parts of all requests of one report.
const PARTS_MAX: usize = 2_048;

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
    /// Hashes of the prompt's parts without the last one, in ascending order.
    pub parts: Box<[u64]>,
    /// The caller's workspace.
    pub workspace: Option<Arc<str>>,
}

impl UnansweredCall {
    /// Returns the record of a request; `None` if its prompt has no part that others may have.
    #[must_use]
    pub fn new(id: &str, prompt: &[PromptPart], workspace: Option<&str>) -> Option<Self> {
        let parts = leading_parts(prompt).iter().take(PARTS_MAX);
        let mut parts: Vec<u64> = parts.map(|part| part.hash).collect();
        parts.sort_unstable();
        parts.dedup();
        (!parts.is_empty()).then(|| Self {
            call: xxh3_64(id.as_bytes()),
            parts: parts.into(),
            workspace: workspace.map(Arc::from),
        })
    }
}

/// Why a report isn't valid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReportError {
    /// the report has {0} requests; 1 to 16 are allowed
    CallCount(usize),
    /// a request has no prompt part
    NoPart,
    /// the requests have {0} prompt parts; up to 2,048 are allowed
    PartCount(usize),
}

impl std::error::Error for ReportError {}

/// What one daemon saw of a replica's crash.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", try_from = "RawReport")]
pub struct CrashReport {
    at_ms: u64,
    calls: Vec<UnansweredCall>,
    crash: CrashId,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawReport {
    #[serde(default)]
    at_ms: u64,
    calls: Vec<UnansweredCall>,
    crash: CrashId,
}

impl CrashReport {
    /// Creates a report of a crash that was seen at `at_ms`, in Unix milliseconds.
    ///
    /// Requests that don't fit are left out, those with most parts first.
    #[must_use]
    pub fn new(crash: CrashId, at_ms: u64, mut calls: Vec<UnansweredCall>) -> Self {
        calls.sort_by_key(|call| call.parts.len());
        let mut parts = 0;
        let fitting = calls.iter().take(CALLS_MAX).take_while(|call| {
            parts += call.parts.len();
            parts <= PARTS_MAX
        });
        let count = fitting.count();
        calls.truncate(count);
        Self {
            at_ms,
            calls,
            crash,
        }
    }

    /// Returns the time at which the daemon saw the crash, in Unix milliseconds.
    #[must_use]
    pub fn at_ms(&self) -> u64 {
        self.at_ms
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
        let parts = raw.calls.iter().map(|call| call.parts.len());
        if parts.clone().any(|count| count == 0) {
            return Err(ReportError::NoPart);
        }
        let count = parts.sum();
        if count > PARTS_MAX {
            return Err(ReportError::PartCount(count));
        }
        Ok(Self {
            at_ms: raw.at_ms,
            calls: raw.calls,
            crash: raw.crash,
        })
    }
}
