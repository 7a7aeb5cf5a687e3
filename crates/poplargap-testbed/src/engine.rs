//! A stand-in for a model engine, over HTTP.
//!
//! | request | answer |
//! |---|---|
//! | `POST /v1/chat/completions` | the answer, whole or as server-sent events |
//! | `DELETE /v1/requests/{id}` | cancels a request |
//! | `GET /load` | the load of a moment ago |
//! | `GET /cache-events?after=SEQ&wait-ms=TIME` | changes of the prefix cache, late |
//! | `POST /orders` | carries out an order, or 409 for an old fencing number |
//! | `POST /drain`, `DELETE /drain` | refuses new work, or takes it again |
//! | `GET /ledger` | all that ran |
//! | `GET /peak?reset=true` | requests in flight now and at the highest |
//! | `POST /faults`, `DELETE /faults` | switches faults on, or all of them off |
//!
//! A chat completion may carry `x-request-id` (needed), `x-priority`, `x-deadline-ms`,
//! `x-resume-from` and `x-chat-id`; its answer carries `x-engine-load: RUNNING/WAITING`.

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
    engine_order::OrderRecord,
    engine_settings::EngineSettings,
    engine_stand_in::EngineStandIn,
    engine_task::EngineGone,
    load_record::{LoadRecord, PeakRecord},
    prefix_cache::{CacheChange, PrefixCache},
    prompt_chain::PromptChain,
    run_ledger::{LedgerRecord, RunOutcome, RunRecord},
};
