//! A stand-in for a model engine, over HTTP.

mod answer_script;
mod batch_state;
mod cache_log;
mod chat_chunk;
mod chat_completion;
mod chat_headers;
mod chat_request;
mod chat_stream;
mod engine_context;
mod engine_order;
mod engine_routes;
mod engine_settings;
mod engine_stand_in;
mod engine_task;
mod load_record;
mod prefix_cache;
mod prompt_chain;
mod run_ledger;
mod run_request;

pub use {
    answer_script::AnswerScript,
    cache_log::{CacheEvent, CacheEvents},
    chat_chunk::{ChatChunk, ChunkChoice, ChunkDelta},
    chat_completion::{ChatCompletion, CompletionChoice},
    chat_request::{ChatMessage, ChatRequest, UsageDetails, UsageRecord},
    engine_order::{EngineOrder, OrderKind, OrderRecord},
    engine_settings::EngineSettings,
    engine_stand_in::EngineStandIn,
    engine_task::EngineGone,
    load_record::{LoadRecord, PeakRecord},
    prefix_cache::{CacheChange, PrefixCache},
    prompt_chain::PromptChain,
    run_ledger::{LedgerRecord, RunOutcome, RunRecord},
};
