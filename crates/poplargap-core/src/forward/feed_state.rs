use {crate::instant::MonotonicInstant, std::time::Duration, strum::IntoStaticStr};

/// Whether the store can be read, and since when it can't.
#[derive(Clone, Copy, Debug, Default, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum FeedState {
    /// It was never read.
    #[default]
    Starting,
    /// It is read.
    Live,
    /// It was read and can't be now.
    Lost {
        /// When the first read failed.
        since: MonotonicInstant,
    },
}

impl FeedState {
    /// Records a failed read and returns whether it is the first one in a row.
    pub fn record_failure(&mut self, now: MonotonicInstant) -> bool {
        let is_first = *self == Self::Live;
        if is_first {
            *self = Self::Lost { since: now };
        }
        is_first
    }

    /// Records a read and returns how long the store was away, if it was.
    pub fn record_success(&mut self, now: MonotonicInstant) -> Option<Duration> {
        let away = match *self {
            Self::Lost { since } => Some(now.since(since)),
            Self::Live | Self::Starting => None,
        };
        *self = Self::Live;
        away
    }
}
