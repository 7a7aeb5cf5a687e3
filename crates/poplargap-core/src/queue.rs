//! The bounded queue of waiting requests at the owner of a shard.
//!
//! Strict priority between classes with ageing, and deficit round robin over the workspaces of a
//! class (Shreedhar and Varghese, "Efficient Fair Queueing Using Deficit Round Robin", 1996).

mod class_lane;
mod drain_rate;
mod queue_refusal;
mod retry_policy;
mod work_item;
mod work_queue;

pub use {
    drain_rate::DrainRate,
    queue_refusal::{QueueRefusal, RefusalReason},
    retry_policy::{RETRY_AFTER_FIXED, RETRY_AFTER_MAX, RETRY_AFTER_MIN, RetryPolicy},
    work_item::{WorkCost, WorkItem},
    work_queue::{AGEING_STEP, WorkQueue},
};
