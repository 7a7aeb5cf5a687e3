//! Streamed answers: their events, their order and their end.

mod answer_tracker;
mod event_splitter;
mod token_usage;
mod whole_answer;

pub use {
    answer_tracker::{AnswerTracker, EventKind},
    event_splitter::{EventSplitter, SplitError},
    token_usage::TokenUsage,
    whole_answer::{ChatCompletion, WholeAnswer},
};
