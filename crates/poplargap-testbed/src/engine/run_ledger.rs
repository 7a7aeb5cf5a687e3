//! The record of all that ran on an engine.

use {
    super::OrderRecord,
    serde::{Deserialize, Serialize},
};

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// It was cancelled, or its caller went away.
    Cancelled,
    /// All tokens were produced.
    Complete,
    /// It still runs.
    Running,
}

/// One run of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunRecord {
    /// Prompt tokens found in the cache.
    pub cached_tokens: usize,
    /// Name of the chat, when the request named it.
    pub chat_id: Option<String>,
    /// Index of the first token wanted.
    pub from_index: usize,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Name of the request.
    pub request_id: String,
    /// Tokens produced by this run.
    pub tokens: usize,
}

/// All that ran on one engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LedgerRecord {
    /// Orders in their order of arrival.
    pub orders: Vec<OrderRecord>,
    /// Most requests in flight ever.
    pub peak: usize,
    /// Runs in their order of start.
    pub runs: Vec<RunRecord>,
}
