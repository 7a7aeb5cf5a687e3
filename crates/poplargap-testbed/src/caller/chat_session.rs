//! One chat as its caller remembers it.

use {
    crate::engine::{ChatMessage, ChatRequest},
    std::time::Duration,
    warp::http::HeaderValue,
};

/// What the caller says next in a chat.
#[derive(Clone, Debug, Default)]
pub struct ChatTurn {
    /// Class of work, when the caller names one.
    pub class: Option<String>,
    /// The caller's message.
    pub content: String,
    /// Time that the caller is ready to wait.
    pub deadline: Option<Duration>,
    /// Most tokens of the answer.
    pub max_tokens: usize,
    /// Name of the request; unique.
    pub request_id: String,
    /// Whether the answer comes as server-sent events.
    pub stream: bool,
}

/// A chat: its messages so far and the routing hint of its last answer.
#[derive(Clone, Debug)]
pub struct ChatSession {
    /// Name of the chat.
    pub chat_id: String,
    /// Messages so far.
    pub messages: Vec<ChatMessage>,
    /// Name of the model.
    pub model: String,
    /// Routing hint of the last answer.
    pub route: Option<HeaderValue>,
}

impl ChatSession {
    /// Starts a chat.
    #[must_use]
    pub fn new(chat_id: impl Into<String>, model: impl Into<String>) -> Self {
        Self {
            chat_id: chat_id.into(),
            messages: Vec::new(),
            model: model.into(),
            route: None,
        }
    }

    /// Returns the request that carries `turn`.
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
