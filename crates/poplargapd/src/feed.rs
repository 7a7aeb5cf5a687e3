//! Keeps the catalogue in force up to date, from the store or from peers.

mod catalogue_feed;
mod peer_clients;
mod store_watch;

pub use {
    catalogue_feed::{CatalogueFeed, CatalogueReader, FeedInputs},
    peer_clients::PeerClients,
};

pub(crate) use catalogue_feed::{FeedChannels, channels};
