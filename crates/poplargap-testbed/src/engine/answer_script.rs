//! Deterministic answers to prompts, the same on every engine.

use {
    super::ChatRequest,
    xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed},
};

/// The whole answer to one request, a pure function of its prompt and token limit.
///
/// Any engine can therefore resume it at any token index, and a caller can detect an answer that
/// belongs to another request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerScript {
    len: usize,
    seed: u64,
}

impl AnswerScript {
    /// Computes the answer to `request`.
    #[must_use]
    pub fn of_request(request: &ChatRequest) -> Self {
        let mut hasher = Xxh3::new();
        for message in &request.messages {
            hasher.update(message.role.as_bytes());
            hasher.update(&[0]);
            hasher.update(message.content.as_bytes());
            hasher.update(&[0]);
        }
        let seed = hasher.digest();
        let len_max = request.max_tokens.max(1);
        let len_min = len_max.div_ceil(2);
        let span = (len_max - len_min + 1) as u64;
        let len = len_min + usize::try_from(seed % span).unwrap_or(0);
        Self { len, seed }
    }

    /// Returns whether the answer has no tokens; always false, since it has at least one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the text of the token at `index`: one word followed by a space.
    #[must_use]
    pub fn token(&self, index: usize) -> String {
        let word = xxh3_64_with_seed(&index.to_le_bytes(), self.seed) >> 40;
        format!("{word:06x} ")
    }

    /// Returns the text of all tokens.
    #[must_use]
    pub fn text(&self) -> String {
        (0..self.len).map(|index| self.token(index)).collect()
    }
}
