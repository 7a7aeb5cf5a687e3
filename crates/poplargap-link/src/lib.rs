//! Messages between the processes of the poplargap router fleet, and their formats.

pub mod envelope;
pub mod heartbeat;
pub mod proof;
pub mod report;
pub mod rpc;
