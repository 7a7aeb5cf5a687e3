//! Records of the requests that an engine ran.

use {
    super::OrderRecord,
    serde::{Deserialize, Serialize},
};

/// State of a run: how it ended, or that it is still running.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// Cancelled, by request or because the caller disconnected.
    Cancelled,
    /// All tokens were produced.
    Complete,
    /// Still running.
    Running,
}

/// One run of a request on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunRecord {
    /// Prompt tokens found in the cache.
    pub cached_tokens: usize,
    /// Value of the header `x-chat-id`, if present.
    pub chat_id: Option<String>,
    /// Index of the first token to produce, from `x-resume-from`.
    pub from_index: usize,
    /// Outcome of the run.
    pub outcome: RunOutcome,
    /// Number of tokens in the prompt.
    pub prompt_tokens: usize,
    /// Value of the header `x-request-id`.
    pub request_id: String,
    /// Tokens produced by this run.
    pub tokens: usize,
}

/// All runs and orders of one engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LedgerRecord {
    /// Orders received, ordered by arrival.
    pub orders: Vec<OrderRecord>,
    /// Highest number of requests in flight since the start of the engine.
    pub peak: usize,
    /// Runs, ordered by start.
    pub runs: Vec<RunRecord>,
}
