//! Attempts at a call: whether it may be sent again, and whether it ran.

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
