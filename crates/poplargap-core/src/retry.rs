//! Attempts at a call: what may be sent again, and what is true about the call.

mod attempt_event;
mod attempt_state;
mod attempt_step;
mod call_attempts;
mod retry_budget;
mod run_outcome;

pub use {
    attempt_event::AttemptEvent,
    attempt_state::AttemptState,
    attempt_step::{AttemptStep, CallEnd, DiscardReason},
    call_attempts::{AttemptNumber, CallAttempts, CallKind},
    retry_budget::{RETRY_FLOOR_PER_SECOND, RETRY_SHARE_PERCENT, RetryBudget},
    run_outcome::RunOutcome,
};
