//! A client that checks each answer against the expected one.

mod answer_check;
mod answer_reader;
mod call_header;
mod call_outcome;
mod caller_client;
mod chat_session;
mod event_reader;
mod refusal_record;
mod service_call;

pub use {
    call_outcome::{CallVerdict, ChatOutcome, ServiceOutcome},
    caller_client::{CallerClient, CallerError},
    chat_session::{ChatSession, ChatTurn},
    refusal_record::{RanState, RefusalRecord},
    service_call::ServiceCall,
};
