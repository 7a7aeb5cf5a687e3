//! Membership of the own data centre: heartbeats, the VM list and the owners of shards.

mod centre_table;
mod heartbeat_task;
mod member_view;
mod peer_rotation;
mod vm_task;

pub use {
    heartbeat_task::{HeartbeatSettings, HeartbeatTask},
    member_view::{MemberView, PeerShard},
    peer_rotation::PeerRotation,
    vm_task::{VmTask, VmView},
};

pub(crate) use heartbeat_task::HeartbeatInputs;
