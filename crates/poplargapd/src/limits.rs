//! Limits of the catalogue: admission at each daemon, and the lending of the data centre's share.

mod class_gate;
mod limit_actor;
mod limit_pass;
mod loan_client;
mod messages;

pub use {
    limit_actor::{LimitActor, LimitInputs},
    limit_pass::{LimitPass, LimitRefusal},
    loan_client::LoanClient,
    messages::{AdmitRequest, AnswerLoan, RefreshLimits},
};
