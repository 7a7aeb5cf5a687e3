//! Chat completion requests and token counts in the common chat completions format.

use serde::{Deserialize, Serialize};

/// Token limit of an answer if the request sets none.
const MAX_TOKENS_DEFAULT: usize = 64;

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatMessage {
    /// Text of the message.
    pub content: String,
    /// Author of the message: `system`, `user` or `assistant`.
    pub role: String,
}

impl ChatMessage {
    /// Creates a message from the model.
    #[must_use]
    pub fn assistant(content: impl Into<String>) -> Self {
        Self::new("assistant", content)
    }

    /// Creates a system message, which instructs the model.
    #[must_use]
    pub fn system(content: impl Into<String>) -> Self {
        Self::new("system", content)
    }

    /// Creates a message from the caller.
    #[must_use]
    pub fn user(content: impl Into<String>) -> Self {
        Self::new("user", content)
    }

    fn new(role: &str, content: impl Into<String>) -> Self {
        Self {
            content: content.into(),
            role: role.to_owned(),
        }
    }
}

/// JSON body of a request for the next message of a chat; unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Maximum number of tokens in the answer.
    #[serde(default = "max_tokens_default")]
    pub max_tokens: usize,
    /// Messages of the chat so far, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Name of the model.
    #[serde(default)]
    pub model: String,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

fn max_tokens_default() -> usize {
    MAX_TOKENS_DEFAULT
}

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRecord {
    /// Tokens of the whole answer, including those before the index that it was resumed from.
    pub completion_tokens: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Breakdown of the prompt's tokens.
    #[serde(default)]
    pub prompt_tokens_details: UsageDetails,
}

/// Breakdown of a prompt's token count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageDetails {
    /// Prompt tokens found in the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: usize,
}
