//! Token counts that an upstream sends at the end of a model's answer.

use serde::{Deserialize, Serialize};

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenUsage {
    /// Number of tokens in the answer.
    pub completion_tokens: u64,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Breakdown of the prompt's tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Breakdown of a prompt's tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptDetails {
    /// Number of prompt tokens found in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}
