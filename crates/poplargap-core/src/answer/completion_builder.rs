//! Builds one chat completion from the events of a streamed answer.

use {
    super::TokenUsage,
    serde::{Deserialize, Serialize},
    serde_json::{Map, Value},
    std::collections::BTreeMap,
};

const DATA_FIELD: &[u8] = b"data: ";

#[derive(Deserialize)]
struct ChunkEvent {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    created: Option<u64>,
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    usage: Option<TokenUsage>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Map<String, Value>,
    #[serde(default)]
    finish_reason: Option<String>,
    #[serde(default)]
    index: u32,
}

#[derive(Debug, Default)]
struct ChoiceParts {
    finish_reason: Option<String>,
    message: Map<String, Value>,
}

/// A chat completion in the format of answers that are not streamed.
#[derive(Clone, Debug, Serialize)]
pub struct ChatCompletion {
    choices: Vec<CompletionChoice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    created: Option<u64>,
    id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<String>,
    object: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Clone, Debug, Serialize)]
struct CompletionChoice {
    finish_reason: Option<String>,
    index: u32,
    message: Map<String, Value>,
}

/// Collects the events of a streamed answer into one completion.
#[derive(Debug, Default)]
pub struct CompletionBuilder {
    choices: BTreeMap<u32, ChoiceParts>,
    created: Option<u64>,
    id: Option<String>,
    model: Option<String>,
    usage: Option<TokenUsage>,
}

impl CompletionBuilder {
    /// Adds one event; an event without a completion chunk is ignored.
    pub fn push(&mut self, event: &[u8]) {
        let chunk = event
            .split(|byte| *byte == b'\n')
            .find_map(|line| line.strip_prefix(DATA_FIELD))
            .and_then(|data| serde_json::from_slice::<ChunkEvent>(data).ok());
        let Some(chunk) = chunk else {
            return;
        };
        self.id = self.id.take().or(chunk.id);
        self.created = self.created.or(chunk.created);
        self.model = self.model.take().or(chunk.model);
        self.usage = chunk.usage.or(self.usage);
        for choice in chunk.choices {
            let parts = self.choices.entry(choice.index).or_default();
            parts.finish_reason = choice.finish_reason.or(parts.finish_reason.take());
            choice
                .delta
                .into_iter()
                .for_each(|(key, value)| merge(&mut parts.message, key, value));
        }
    }

    /// Returns the completion; the role of each message is `assistant` unless the events set it.
    #[must_use]
    pub fn into_completion(self) -> ChatCompletion {
        let choices = self.choices.into_iter().map(|(index, mut parts)| {
            parts
                .message
                .entry("role")
                .or_insert_with(|| Value::from("assistant"));
            CompletionChoice {
                finish_reason: parts.finish_reason,
                index,
                message: parts.message,
            }
        });
        ChatCompletion {
            choices: choices.collect(),
            created: self.created,
            id: self.id.unwrap_or_default(),
            model: self.model,
            object: "chat.completion",
            usage: self.usage,
        }
    }
}

/// Appends texts, except for the role, and lists; other values but null replace the old one.
fn merge(message: &mut Map<String, Value>, key: String, value: Value) {
    match (message.get_mut(&key), value) {
        (Some(Value::String(text)), Value::String(more)) if key != "role" => text.push_str(&more),
        (Some(Value::Array(list)), Value::Array(more)) => list.extend(more),
        (Some(_), Value::Null) => {}
        (_, value) => {
            message.insert(key, value);
        }
    }
}
