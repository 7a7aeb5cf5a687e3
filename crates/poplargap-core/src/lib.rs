//! The decision logic of the poplargap router fleet as pure state machines.
//!
//! No code in this crate opens a socket, starts a task or reads a clock: time and randomness are
//! passed as arguments.

pub mod answer;
pub mod catalogue;
pub mod collections;
pub mod finding;
pub mod forward;
pub mod input;
pub mod instant;
pub mod limit;
pub mod membership;
pub mod name;
pub mod order;
pub mod owner;
pub mod queue;
pub mod rendezvous;
pub mod retry;
pub mod settings;
pub mod shard;
pub mod store_position;
