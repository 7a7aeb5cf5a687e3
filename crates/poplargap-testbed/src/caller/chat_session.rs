//! State of a chat on the caller's side.

use {
    crate::engine::{ChatMessage, ChatRequest},
    std::time::Duration,
    warp::http::HeaderValue,
};

/// Next request of a chat.
#[derive(Clone, Debug, Default)]
pub struct ChatTurn {
    /// Name of the class, or `None` to send no class header.
    pub class: Option<String>,
    /// Text of the user message.
    pub content: String,
    /// Time in which the caller needs the answer, or `None` to send no deadline.
    pub deadline: Option<Duration>,
    /// Maximum number of tokens in the answer.
    pub max_tokens: usize,
    /// Unique identifier of the request.
    pub request_id: String,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
}

/// A chat: its messages so far and the routing hint of its last answer.
#[derive(Clone, Debug)]
pub struct ChatSession {
    /// Identifier of the chat.
    pub chat_id: String,
    /// Messages of all completed turns.
    pub messages: Vec<ChatMessage>,
    /// Name of the requested model.
    pub model: String,
    /// Routing hint of the last answer.
    pub route: Option<HeaderValue>,
}

impl ChatSession {
    /// Creates a chat without messages.
    #[must_use]
    pub fn new(chat_id: impl Into<String>, model: impl Into<String>) -> Self {
        Self {
            chat_id: chat_id.into(),
            messages: Vec::new(),
            model: model.into(),
            route: None,
        }
    }

    /// Builds the request body for `turn`: the messages so far and the new one.
    #[must_use]
    pub fn request(&self, turn: &ChatTurn) -> ChatRequest {
        let mut messages = self.messages.clone();
        messages.push(ChatMessage::user(turn.content.as_str()));
        ChatRequest {
            max_tokens: turn.max_tokens,
            messages,
            model: self.model.clone(),
            stream: turn.stream,
        }
    }
}
