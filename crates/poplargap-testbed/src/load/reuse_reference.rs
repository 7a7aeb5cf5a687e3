//! Simulated cache reuse when each turn goes to the replica of the previous turn.

use {
    super::{ChatPlan, LoadSchedule, LoadSettings, WorkProfile},
    crate::engine::{AnswerScript, ChatMessage, PrefixCache, PromptChain},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, ops::AddAssign},
};

/// Number of prompt tokens, and of those that were cached.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReuseCount {
    /// Number of prompt tokens found in a cache.
    pub cached_tokens: usize,
    /// Number of prompt tokens.
    pub prompt_tokens: usize,
}

impl ReuseCount {
    /// Returns the cached part of the prompt tokens, or `None` when there were none.
    #[must_use]
    pub fn ratio(&self) -> Option<f64> {
        (self.prompt_tokens > 0).then(|| self.cached_tokens as f64 / self.prompt_tokens as f64)
    }
}

impl AddAssign for ReuseCount {
    fn add_assign(&mut self, rhs: Self) {
        self.cached_tokens += rhs.cached_tokens;
        self.prompt_tokens += rhs.prompt_tokens;
    }
}

/// Reuse of a schedule on simulated engine caches.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReuseReference {
    /// Reuse by kind of chat.
    pub profiles: BTreeMap<WorkProfile, ReuseCount>,
    /// Reuse by workspace index.
    pub workspaces: BTreeMap<usize, ReuseCount>,
}

impl ReuseReference {
    /// Runs all turns of `schedule` against simulated caches.
    ///
    /// New chats are assigned to the engines in rotation; later turns stay on the chat's engine.
    #[must_use]
    pub fn of_schedule(schedule: &LoadSchedule, settings: &LoadSettings) -> Self {
        let engines = settings.reference.engines.get();
        let mut caches: Vec<_> = (0..engines)
            .map(|_| PrefixCache::new(settings.reference.cache_blocks))
            .collect();
        let mut next_engine = 0;
        let mut states: Vec<Option<ChatState>> = vec![None; schedule.chats.len()];
        let mut reference = Self::default();
        for (chat, turn) in schedule.turns() {
            let plan = &schedule.chats[chat];
            let state = states[chat].get_or_insert_with(|| {
                next_engine = (next_engine + 1) % engines;
                ChatState {
                    engine: next_engine,
                    messages: plan.first_messages(),
                    next_turn: 0,
                }
            });
            // Turns before the load's start aren't sent, so no cache contains them.
            while state.next_turn < turn {
                let request = plan.request(state.next_turn, &state.messages, &settings.model);
                state.messages = ChatPlan::messages_after(request);
                state.next_turn += 1;
            }
            let request = plan.request(turn, &state.messages, &settings.model);
            let script = AnswerScript::of_request(&request);
            let chain = PromptChain::of_request(&request, &script, settings.reference.block_tokens);
            let count = count_reuse(&mut caches[state.engine], &chain, script.len());
            *reference.profiles.entry(plan.profile).or_default() += count;
            *reference.workspaces.entry(plan.workspace).or_default() += count;
            state.messages = ChatPlan::messages_after(request);
            state.next_turn += 1;
        }
        reference
    }

    /// Returns the reuse over all turns.
    #[must_use]
    pub fn total(&self) -> ReuseCount {
        let mut total = ReuseCount::default();
        self.profiles.values().for_each(|count| total += *count);
        total
    }
}

/// Progress of a chat in the simulation.
#[derive(Clone, Debug)]
struct ChatState {
    engine: usize,
    messages: Vec<ChatMessage>,
    next_turn: usize,
}

/// Looks up a prompt in `cache`, inserts it with its answer and returns its reuse.
fn count_reuse(cache: &mut PrefixCache, chain: &PromptChain, answer_len: usize) -> ReuseCount {
    let blocks = cache.lookup(chain.blocks(0));
    cache.insert(chain.blocks(answer_len));
    ReuseCount {
        cached_tokens: chain.cached_tokens(blocks),
        prompt_tokens: chain.prompt_tokens(),
    }
}
