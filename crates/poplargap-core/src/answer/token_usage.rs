//! Token counts that end a model's answer.

use serde::{Deserialize, Serialize};

/// Tokens that one answer used.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenUsage {
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Where the prompt's tokens came from.
    #[serde(default)]
    pub prompt_tokens_details: PromptDetails,
}

/// Where a prompt's tokens came from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptDetails {
    /// Prompt tokens that the engine's cache held.
    #[serde(default)]
    pub cached_tokens: u64,
}
