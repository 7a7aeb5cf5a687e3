//! Streamed answers: splitting into events, checks of order and completeness, and collection.

mod answer_tracker;
mod completion_builder;
mod event_splitter;
mod token_usage;

pub use {
    answer_tracker::{AnswerTracker, EventKind},
    completion_builder::{ChatCompletion, CompletionBuilder},
    event_splitter::{EventSplitter, SplitError},
    token_usage::TokenUsage,
};
