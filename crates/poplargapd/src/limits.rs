//! Limits of the catalogue: admission here, and the share of the data centre that it lends.

mod class_gate;
mod limit_actor;
mod limit_link;
mod limit_pass;
mod messages;

pub use {
    limit_actor::{LimitActor, LimitInputs},
    limit_link::LimitLink,
    limit_pass::{LimitPass, LimitRefusal},
    messages::{AdmitClass, AnswerLoan, RefreshLimits},
};
