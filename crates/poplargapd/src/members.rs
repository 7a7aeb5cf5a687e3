//! Membership of the own data centre: heartbeats, the VM list and who is home to what.

mod centre_table;
mod heartbeat_task;
mod member_view;
mod send_turns;
mod vm_task;

pub use {
    heartbeat_task::{HeartbeatSettings, HeartbeatTask},
    member_view::{MemberView, PeerShard},
    send_turns::SendTurns,
    vm_task::{VmTask, VmView},
};

pub(crate) use heartbeat_task::HeartbeatInputs;
