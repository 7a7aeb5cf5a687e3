//! Chat completions in their usual form.

use serde::{Deserialize, Serialize};

/// Most tokens of an answer when the request sets no limit.
const MAX_TOKENS_DEFAULT: usize = 64;

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatMessage {
    /// Text of the message.
    pub content: String,
    /// Who speaks.
    pub role: String,
}

impl ChatMessage {
    /// Creates a message of the model.
    #[must_use]
    pub fn assistant(content: impl Into<String>) -> Self {
        Self::new("assistant", content)
    }

    /// Creates a message of the operator of the chat.
    #[must_use]
    pub fn system(content: impl Into<String>) -> Self {
        Self::new("system", content)
    }

    /// Creates a message of the caller.
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

/// A request for the next message of a chat; unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Most tokens of the answer.
    #[serde(default = "max_tokens_default")]
    pub max_tokens: usize,
    /// The chat so far.
    pub messages: Vec<ChatMessage>,
    /// Name of the model.
    #[serde(default)]
    pub model: String,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

fn max_tokens_default() -> usize {
    MAX_TOKENS_DEFAULT
}

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRecord {
    /// Tokens of the whole answer.
    pub completion_tokens: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// What is known of the prompt's tokens.
    #[serde(default)]
    pub prompt_tokens_details: UsageDetails,
}

/// Details of a prompt's token count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageDetails {
    /// Tokens of the prompt that the engine found in its cache.
    #[serde(default)]
    pub cached_tokens: usize,
}
