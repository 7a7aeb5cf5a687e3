//! Daemon of the poplargap router fleet, one on every entry VM.

pub mod args;
pub mod daemon;
pub mod feed;
pub mod invariant;
pub mod limits;
pub mod log;
pub mod members;
pub mod metrics;
pub mod operators;
pub mod orders;
pub mod pipeline;
pub mod relay;
pub mod rpc_server;
pub mod run;
pub mod shards;

mod body;
mod clock;
mod platform_run;
mod server;
