//! Homes of shards: the actor that counts, places and queues, and the tasks that talk to upstreams.

mod chat_task;
mod home_actor;
mod home_frame;
mod home_handlers;
mod home_reports;
mod homed_shard;
mod messages;
mod place_permit;
mod service_task;
mod upstream_clients;

pub use {
    chat_task::ChatTask,
    home_actor::{HomeActor, HomeSettings},
    home_frame::{HomeFrame, ServiceAnswer, ServiceRequest},
    messages::{PlaceReply, PlaceWork, RefreshHomes, TakeoverLoads},
    place_permit::{AttemptResult, PlacePermit},
    service_task::ServiceTask,
    upstream_clients::{ProgressLimits, UpstreamClients},
};
pub(crate) use {home_actor::HomeInputs, upstream_clients::build_client};
