//! Follows the routes, the replicas and the peer daemons in the store.

mod feed_context;
mod peers_feed;
mod replicas_feed;
mod routes_feed;
mod store_feed;
mod store_follower;

pub(crate) use {
    feed_context::FeedContext,
    store_feed::{FeedViews, follow_store},
};
