use {crate::instant::MonotonicInstant, std::time::Duration, strum::IntoStaticStr};

/// Whether the store can be read, and since when not.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum FeedState {
    /// The store hasn't been read yet.
    #[default]
    Starting,
    /// The last read succeeded.
    Live,
    /// Reads fail since an earlier success.
    Lost {
        /// Time of the first failed read.
        since: MonotonicInstant,
    },
}

impl FeedState {
    /// Records a failed read; returns whether it is the first one after a success.
    pub fn record_failure(&mut self, now: MonotonicInstant) -> bool {
        let is_first = *self == Self::Live;
        if is_first {
            *self = Self::Lost { since: now };
        }
        is_first
    }

    /// Records a successful read; returns the length of the outage that it ends, if any.
    pub fn record_success(&mut self, now: MonotonicInstant) -> Option<Duration> {
        let outage = match *self {
            Self::Lost { since } => Some(now.since(since)),
            Self::Live | Self::Starting => None,
        };
        *self = Self::Live;
        outage
    }
}
