use {
    crate::{FeedSettings, ProcessClock, front_metrics::FrontMetrics},
    slog::Logger,
};

/// The dependencies that all feeds share.
#[derive(Clone, Debug)]
pub(crate) struct FeedContext<F, S> {
    pub(crate) clock: ProcessClock,
    pub(crate) dialect: F,
    pub(crate) log: Logger,
    pub(crate) metrics: FrontMetrics,
    pub(crate) settings: FeedSettings,
    pub(crate) store: S,
}
