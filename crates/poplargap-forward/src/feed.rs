//! Follows the routes, the replicas and the peer daemons in the store.

mod change_body;
mod change_log;
mod change_request;
mod change_server;
mod change_share;
mod era_guard;
mod evacuation_feed;
mod evidence_feed;
mod evidence_reads;
mod feed_context;
mod feed_position;
mod feed_read;
mod omitted_reads;
mod omitted_values;
mod peers_feed;
mod reader_clients;
mod replicas_feed;
mod routes_feed;
mod shared_reads;
mod store_feed;
mod store_follower;
mod store_listing;
mod value_kind;

pub(crate) use {
    change_server::{ChangeServer, serve_changes},
    change_share::ChangeShare,
    feed_context::FeedContext,
    shared_reads::FeedSharing,
    store_feed::{FeedViews, follow_store},
};

pub use {
    change_body::FeedBatchBody,
    change_log::{ChangeLog, ChangeLogError, FeedBatch, FeedChange, FeedValue},
    feed_position::FeedPosition,
    omitted_values::{OmittedValues, ReadVerdict, ValueRead},
    value_kind::ValueKind,
};

use change_request::ChangeRequest;
