//! One planned chat: its turns, their times and their texts.

use {
    super::WorkProfile,
    crate::engine::{AnswerScript, ChatMessage, ChatRequest},
    std::time::Duration,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// One planned turn of a chat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TurnPlan {
    /// Time after the load's start; `None` for a turn before it, which isn't sent.
    pub at: Option<Duration>,
    /// Random number that selects the daemon, modulo the number of daemons.
    pub daemon: usize,
    /// Maximum number of tokens of the answer.
    pub max_tokens: usize,
    /// Number of words in the caller's message.
    pub words: usize,
}

/// One planned chat; its messages depend only on the plan, not on the outcomes of its turns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChatPlan {
    /// ID of the chat.
    pub chat_id: String,
    /// Index of the class in its workspace.
    pub class: usize,
    /// Kind of the chat.
    pub profile: WorkProfile,
    /// Seed of the caller's messages.
    pub seed: u64,
    /// System message, which all chats of the workspace's class share.
    pub system: String,
    /// Turns in order of time.
    pub turns: Vec<TurnPlan>,
    /// Index of the workspace in the load settings.
    pub workspace: usize,
}

impl ChatPlan {
    /// Returns the caller's message of turn `index`.
    #[must_use]
    pub fn content(&self, index: usize) -> String {
        let seed = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        text(seed, self.turns[index].words)
    }

    /// Returns the messages before turn 0.
    #[must_use]
    pub fn first_messages(&self) -> Vec<ChatMessage> {
        vec![ChatMessage::system(self.system.as_str())]
    }

    /// Returns the request of turn `index`, whose message comes after `messages`.
    #[must_use]
    pub fn request(&self, index: usize, messages: &[ChatMessage], model: &str) -> ChatRequest {
        let mut messages = messages.to_vec();
        messages.push(ChatMessage::user(self.content(index)));
        ChatRequest {
            max_tokens: self.turns[index].max_tokens,
            messages,
            model: model.to_owned(),
            stream: true,
        }
    }

    /// Returns the request's messages followed by the answer that the model gives.
    #[must_use]
    pub fn messages_after(request: ChatRequest) -> Vec<ChatMessage> {
        let answer = AnswerScript::of_request(&request).text();
        let mut messages = request.messages;
        messages.push(ChatMessage::assistant(answer));
        messages
    }

    /// Returns the ID of the request of turn `index`.
    #[must_use]
    pub fn request_id(&self, index: usize) -> String {
        format!("{}-{index}", self.chat_id)
    }
}

/// Returns the system message that all chats of a workspace's class share.
pub(super) fn system_text(workspace: &str, class: &str, words: usize) -> String {
    let seed = xxh3_64_with_seed(class.as_bytes(), xxh3_64(workspace.as_bytes()));
    text(seed, words)
}

fn text(seed: u64, words: usize) -> String {
    (0..words)
        .map(|word| format!("{:05x}", xxh3_64_with_seed(&word.to_le_bytes(), seed) >> 44))
        .collect::<Vec<_>>()
        .join(" ")
}
