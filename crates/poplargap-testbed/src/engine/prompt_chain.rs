//! Chained block hashes of a prompt and its answer.

use {
    super::{AnswerScript, ChatRequest},
    std::{iter::once, num::NonZeroUsize},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Block hashes of a prompt and its answer; each hash covers the whole prefix up to its block.
#[derive(Clone, Debug)]
pub struct PromptChain {
    block_tokens: NonZeroUsize,
    blocks: Vec<u64>,
    prompt_tokens: usize,
}

impl PromptChain {
    /// Computes the chain of `request` and its answer; each word, role names included, is one token.
    #[must_use]
    pub fn of_request(
        request: &ChatRequest,
        script: &AnswerScript,
        block_tokens: NonZeroUsize,
    ) -> Self {
        let mut builder = ChainBuilder::default();
        let mut prompt_tokens = 0;
        for message in &request.messages {
            for word in once(message.role.as_str()).chain(message.content.split_whitespace()) {
                builder.push(word, block_tokens);
                prompt_tokens += 1;
            }
        }
        builder.push("assistant", block_tokens);
        for index in 0..script.len() {
            builder.push(script.token(index).trim_end(), block_tokens);
        }
        Self {
            block_tokens,
            blocks: builder.blocks,
            prompt_tokens,
        }
    }

    /// Returns the full blocks within the prompt and the first `produced` tokens of the answer.
    #[must_use]
    pub fn blocks(&self, produced: usize) -> &[u64] {
        let role_tokens = usize::from(produced > 0);
        let tokens = self.prompt_tokens + role_tokens + produced;
        let blocks = tokens / self.block_tokens;
        &self.blocks[..blocks.min(self.blocks.len())]
    }

    /// Returns the prompt tokens that `blocks` cached blocks cover.
    ///
    /// At least one prompt token is always counted as not cached.
    #[must_use]
    pub fn cached_tokens(&self, blocks: usize) -> usize {
        let tokens = blocks * self.block_tokens.get();
        tokens.min(self.prompt_tokens.saturating_sub(1))
    }

    /// Returns the number of tokens in the prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> usize {
        self.prompt_tokens
    }
}

#[derive(Debug, Default)]
struct ChainBuilder {
    blocks: Vec<u64>,
    filled: usize,
    hash: u64,
}

impl ChainBuilder {
    fn push(&mut self, word: &str, block_tokens: NonZeroUsize) {
        self.hash = xxh3_64_with_seed(word.as_bytes(), self.hash);
        self.filled += 1;
        if self.filled == block_tokens.get() {
            self.blocks.push(self.hash);
            self.filled = 0;
        }
    }
}
