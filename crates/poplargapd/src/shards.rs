//! Shards that this daemon owns: an actor counts, places and queues requests, tasks send them.

mod answer_frame;
mod chat_task;
mod messages;
mod owned_shard;
mod place_permit;
mod service_task;
mod shard_actor;
mod shard_handlers;
mod shard_reports;
mod upstream_clients;

pub use {
    answer_frame::{AnswerFrame, ServiceAnswer, ServiceRequest},
    chat_task::ChatTask,
    messages::{PlaceReply, PlaceWork, ProbedLoads, RefreshShards},
    place_permit::{AttemptResult, PlacePermit},
    service_task::ServiceTask,
    shard_actor::{ShardActor, ShardSettings},
    upstream_clients::{ProgressLimits, UpstreamClients},
};
pub(crate) use {shard_actor::ShardInputs, upstream_clients::build_client};
