//! Settings of a front proxy.

use {
    poplargap_core::forward::{LeaveRule, RegionTable},
    std::{net::SocketAddr, time::Duration},
};

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
    /// Timing where a few daemons of a data centre read the store for the others.
    pub shared: SharedFeedSettings,
    /// Longest time for which one watch waits for changes.
    pub watch_wait: Duration,
}

/// Timing of the reads where a few daemons of a data centre read the store for the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedFeedSettings {
    /// Greatest time since a reader's last read of the store at which others use its changes.
    pub age_max: Duration,
    /// Timeout of a request to a reader; a poll times out this long after its wait.
    pub poll_timeout: Duration,
    /// Longest time for which a request to a reader waits for changes.
    pub poll_wait: Duration,
    /// A reader's pause between two reads of the store.
    pub read_pause: Duration,
    /// Time for which copies that may be old are read of a value that another daemon left out.
    pub stale_time: Duration,
    /// Longest time for which a reader's watch waits for changes.
    pub watch_wait: Duration,
}

/// The data centres, and how fast they are emptied and filled.
#[derive(Clone, Debug, Default)]
pub struct PlaceSettings {
    /// Time in which an evacuation must take effect.
    pub evacuation: Duration,
    /// When a request leaves its data centre; `None` if all data centres are alike to the operators.
    pub leave: Option<LeaveRule>,
    /// Region of each data centre.
    pub regions: RegionTable,
    /// Time after the end of an evacuation in which replicas register whether they are cold.
    pub return_caution: Duration,
}

/// Settings of a front proxy.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// The daemon's data centre.
    pub data_centre: String,
    /// Time for which a leaving replica serves.
    pub drain: Duration,
    /// Timing of the reads of the store.
    pub feed: FeedSettings,
    /// Time from the termination signal until the process must have exited.
    pub grace: Duration,
    /// Address of the metrics listener.
    pub metrics: SocketAddr,
    /// Address for messages of peer daemons; `None` to exchange none.
    pub peers: Option<SocketAddr>,
    /// The data centres.
    pub places: PlaceSettings,
    /// Address of the listener for the platform's readiness probe.
    pub ready: SocketAddr,
    /// Settings of the retry budgets.
    pub retry: RetrySettings,
}
