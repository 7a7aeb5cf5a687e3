//! Answers that come whole.

use {
    super::{ChatMessage, UsageRecord},
    serde::{Deserialize, Serialize},
};

/// A whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatCompletion {
    /// Name of the request.
    pub id: String,
    /// Kind of the answer.
    pub object: String,
    /// The answer's message.
    pub choices: Vec<CompletionChoice>,
    /// Token counts.
    pub usage: UsageRecord,
}

/// The message of a whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionChoice {
    /// Number of the choice, always 0.
    pub index: usize,
    /// The message.
    pub message: ChatMessage,
    /// Why the answer ended.
    pub finish_reason: Option<String>,
}

impl ChatCompletion {
    /// Creates an answer of one message.
    #[must_use]
    pub fn new(id: &str, text: String, usage: UsageRecord) -> Self {
        Self {
            choices: vec![CompletionChoice {
                finish_reason: Some("stop".to_owned()),
                index: 0,
                message: ChatMessage::assistant(text),
            }],
            id: id.to_owned(),
            object: "chat.completion".to_owned(),
            usage,
        }
    }
}
