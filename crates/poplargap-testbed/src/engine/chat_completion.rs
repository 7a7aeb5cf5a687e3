//! Chat completions that are answered in one JSON body.

use {
    super::{ChatMessage, UsageRecord},
    serde::{Deserialize, Serialize},
};

/// JSON body of a chat completion that isn't streamed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatCompletion {
    /// Value of the request's header `x-request-id`.
    pub id: String,
    /// Object type, always `chat.completion`.
    pub object: String,
    /// The answer, as a single choice.
    pub choices: Vec<CompletionChoice>,
    /// Token counts.
    pub usage: UsageRecord,
}

/// One choice of a chat completion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompletionChoice {
    /// Index of the choice, always 0.
    pub index: usize,
    /// The model's message.
    pub message: ChatMessage,
    /// Reason why the answer ended, `stop` for a complete one.
    pub finish_reason: Option<String>,
}

impl ChatCompletion {
    /// Creates a completion with `text` as its only choice.
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
