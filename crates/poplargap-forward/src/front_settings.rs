//! Settings of a front.

use std::{net::SocketAddr, time::Duration};

/// The part of requests to a service that may be sent once more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Second sends for each request.
    pub ratio: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

/// How the store is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedSettings {
    /// Pause between two reads.
    pub pause: Duration,
    /// Longest time that one watch waits.
    pub watch_wait: Duration,
}

/// Settings of a front.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// The daemon's data centre.
    pub data_centre: String,
    /// How the store is followed.
    pub feed: FeedSettings,
    /// Time from the signal to end until the process must be gone.
    pub grace: Duration,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where the other daemons are heard; `None` where a daemon is alone.
    pub peers: Option<SocketAddr>,
    /// Where the platform asks whether the daemon is ready.
    pub ready: SocketAddr,
    /// The retry budget.
    pub retry: RetrySettings,
}
