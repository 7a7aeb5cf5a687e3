//! Server-sent events of a streamed chat completion.

use {
    super::UsageRecord,
    serde::{Deserialize, Serialize},
};

/// One event of a streamed chat completion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatChunk {
    /// Value of the request's header `x-request-id`.
    pub id: String,
    /// Object type, always [`Self::OBJECT`].
    pub object: String,
    /// Index of the token in the whole answer; absent in the usage event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<usize>,
    /// The token; empty in the usage event.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// Token counts; only in the usage event, which follows the last token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageRecord>,
}

/// One token of a streamed chat completion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkChoice {
    /// Index of the choice, always 0.
    pub index: usize,
    /// The new text.
    pub delta: ChunkDelta,
    /// `stop` for the last token, otherwise null.
    pub finish_reason: Option<String>,
}

/// Text that one event adds to the answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkDelta {
    /// Text of one token.
    #[serde(default)]
    pub content: String,
}

impl ChatChunk {
    /// Object type of all events.
    pub const OBJECT: &str = "chat.completion.chunk";

    /// Creates the event for the token at `index`; `last` marks the end of the answer.
    #[must_use]
    pub fn token(id: &str, index: usize, content: String, last: bool) -> Self {
        Self {
            choices: vec![ChunkChoice {
                delta: ChunkDelta { content },
                finish_reason: last.then(|| "stop".to_owned()),
                index: 0,
            }],
            id: id.to_owned(),
            index: Some(index),
            object: Self::OBJECT.to_owned(),
            usage: None,
        }
    }

    /// Creates the usage event, which carries the token counts.
    #[must_use]
    pub fn usage(id: &str, usage: UsageRecord) -> Self {
        Self {
            choices: Vec::new(),
            id: id.to_owned(),
            index: None,
            object: Self::OBJECT.to_owned(),
            usage: Some(usage),
        }
    }
}
