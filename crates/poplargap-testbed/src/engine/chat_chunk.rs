//! Events of a streamed answer.

use {
    super::UsageRecord,
    serde::{Deserialize, Serialize},
};

/// One event of a streamed answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatChunk {
    /// Name of the request.
    pub id: String,
    /// Kind of the event.
    pub object: String,
    /// Index of the token; absent in the event that carries the usage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<usize>,
    /// The token; empty in the event that carries the usage.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// Token counts, after the last token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageRecord>,
}

/// One token of a streamed answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkChoice {
    /// Number of the choice, always 0.
    pub index: usize,
    /// The new text.
    pub delta: ChunkDelta,
    /// `stop` with the last token.
    pub finish_reason: Option<String>,
}

/// New text of a streamed answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkDelta {
    /// Text of one token.
    #[serde(default)]
    pub content: String,
}

impl ChatChunk {
    /// Object kind of all events.
    pub const OBJECT: &str = "chat.completion.chunk";

    /// Creates the event of one token.
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

    /// Creates the event that carries the token counts.
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
