use {
    super::{ReplicaId, RequestIdentity},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// Most requests of one report.
const CALLS_MAX: usize = 16;

/// Most prompt parts of all requests of one report.
const PARTS_MAX: usize = 2_048;

/// Most bytes of an encoded number.
const NUMBER_BYTES: usize = 10;

/// Most bytes of an encoded report without the replica's id and the requests.
const REPORT_BYTES: usize = 5 * NUMBER_BYTES;

/// Most bytes of an encoded request without the workspace's name and the parts.
const CALL_BYTES: usize = 5 * NUMBER_BYTES;

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
    /// Hash of the request itself.
    #[serde(default)]
    pub own: Option<u64>,
    /// Hashes of the prompt's parts without the last one, in ascending order.
    pub parts: Box<[u64]>,
    /// The caller's workspace.
    pub workspace: Option<Arc<str>>,
}

impl UnansweredCall {
    /// Returns the record of the request `id`.
    #[must_use]
    pub fn new(id: &str, identity: &RequestIdentity, workspace: Option<&str>) -> Self {
        let parts = identity.parts().iter().take(PARTS_MAX);
        Self {
            call: xxh3_64(id.as_bytes()),
            own: Some(identity.own()),
            parts: parts.copied().collect(),
            workspace: workspace.map(Arc::from),
        }
    }

    fn encoded_len_max(&self) -> usize {
        let workspace = self.workspace.as_ref().map_or(0, |name| name.len());
        CALL_BYTES + workspace + self.parts.len() * NUMBER_BYTES
    }

    /// Returns the hashes of the parts and of the request itself.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().copied().chain(self.own)
    }
}

/// Why a report isn't valid.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReportError {
    /// the report has {0} requests; 1 to 16 are allowed
    CallCount(usize),
    /// a request has neither a hash of its own nor a prompt part
    NoHash,
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

    /// Returns the report without the requests that exceed `bytes_max` when it is encoded.
    #[must_use]
    pub fn trimmed(mut self, bytes_max: usize) -> Self {
        while self.encoded_len_max() > bytes_max && !self.calls.is_empty() {
            self.calls.pop();
        }
        self
    }

    /// Returns the most bytes that the report takes when it is encoded.
    #[must_use]
    pub fn encoded_len_max(&self) -> usize {
        let calls = self.calls.iter().map(UnansweredCall::encoded_len_max);
        REPORT_BYTES + self.crash.replica.len() + calls.sum::<usize>()
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
        if raw.calls.iter().any(|call| call.hashes().next().is_none()) {
            return Err(ReportError::NoHash);
        }
        let parts = raw.calls.iter().map(|call| call.parts.len());
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
