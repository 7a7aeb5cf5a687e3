//! A stand-in for a model engine that serves over HTTP.
//!
//! | request | answer |
//! |---|---|
//! | `POST /v1/chat/completions` | the completion, as one JSON body or as server-sent events |
//! | `DELETE /v1/requests/{id}` | cancels a waiting or running request |
//! | `GET /load` | the load, reported with a delay |
//! | `GET /cache-events?after=SEQ&wait-ms=TIME` | changes of the prefix cache, published with a delay |
//! | `POST /orders` | executes an order, or answers 409 if its fencing number is outdated |
//! | `POST /drain`, `DELETE /drain` | refuses new requests, or accepts them again |
//! | `GET /ledger` | all runs and orders |
//! | `GET /peak?reset=true` | current and highest number of requests in flight |
//! | `POST /faults`, `DELETE /faults` | sets the active faults, or clears them all |
//!
//! A chat completion requires the header `x-request-id` and accepts `x-priority`, `x-deadline-ms`,
//! `x-resume-from` and `x-chat-id`. Its response carries `x-engine-load: RUNNING/WAITING`.

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
    engine_task::EngineTaskError,
    load_record::{LoadRecord, PeakRecord},
    prefix_cache::{CacheChange, PrefixCache},
    prompt_chain::PromptChain,
    run_ledger::{LedgerRecord, RunOutcome, RunRecord},
};
