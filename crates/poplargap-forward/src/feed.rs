//! Follows the routes and the replicas in the store.

mod feed_context;
mod replicas_feed;
mod routes_feed;
mod store_feed;
mod store_follower;

pub(crate) use {feed_context::FeedContext, store_feed::follow_store};
