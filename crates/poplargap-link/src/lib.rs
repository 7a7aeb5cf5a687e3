//! What the processes of the poplargap router fleet say to each other.

pub mod envelope;
pub mod heartbeat;
pub mod proof;
pub mod report;
pub mod rpc;
