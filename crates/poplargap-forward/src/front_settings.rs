//! Settings of a front proxy.

use std::{net::SocketAddr, time::Duration};

/// Settings of the retry budget of each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Time over which retries and requests are counted.
    pub window: Duration,
}

/// Timing of the reads of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedSettings {
    /// Pause between two reads.
    pub pause: Duration,
    /// Longest time for which one watch waits for changes.
    pub watch_wait: Duration,
}

/// Settings of a front proxy.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// The daemon's data centre.
    pub data_centre: String,
    /// Timing of the reads of the store.
    pub feed: FeedSettings,
    /// Time from the termination signal until the process must have exited.
    pub grace: Duration,
    /// Address of the metrics listener.
    pub metrics: SocketAddr,
    /// Address for messages of peer daemons; `None` to exchange none.
    pub peers: Option<SocketAddr>,
    /// Address of the listener for the platform's readiness probe.
    pub ready: SocketAddr,
    /// Settings of the retry budgets.
    pub retry: RetrySettings,
}
