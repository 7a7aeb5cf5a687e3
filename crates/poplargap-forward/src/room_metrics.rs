//! Metrics of requests that wait for room, and of expected times.

use {
    crate::metric_bounds::BOUNDS_S,
    prometheus::{GaugeVec, HistogramOpts, HistogramVec, IntGaugeVec, Opts, Registry},
    std::time::Duration,
};

/// Upper bounds of the histogram of the seen over the expected time.
const RATIO_BOUNDS: [f64; 8] = [0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0];

/// Metrics of requests that wait for room; clones share their values.
#[derive(Clone, Debug)]
pub(crate) struct RoomMetrics {
    expected: GaugeVec,
    expected_ratio: HistogramVec,
    share: GaugeVec,
    wait: HistogramVec,
    waiting: IntGaugeVec,
}

impl RoomMetrics {
    /// Creates the metrics in `registry`.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric's name or description is invalid or taken.
    pub(crate) fn new(registry: &Registry) -> prometheus::Result<Self> {
        let expected = GaugeVec::new(
            Opts::new(
                "poplargap_expected_seconds",
                "Expected time of an answer at the replica that was chosen last",
            ),
            &["service"],
        )?;
        registry.register(Box::new(expected.clone()))?;
        let expected_ratio = HistogramVec::new(
            HistogramOpts::new(
                "poplargap_expected_time_ratio",
                "Time of an answer divided by the expected time",
            )
            .buckets(RATIO_BOUNDS.to_vec()),
            &["service"],
        )?;
        registry.register(Box::new(expected_ratio.clone()))?;
        let share = GaugeVec::new(
            Opts::new(
                "poplargap_room_share",
                "Share of a service's requests that its replicas bear, as estimated",
            ),
            &["service"],
        )?;
        registry.register(Box::new(share.clone()))?;
        let wait = HistogramVec::new(
            HistogramOpts::new(
                "poplargap_wait_seconds",
                "Time for which requests waited for room, by how the wait ended",
            )
            .buckets(BOUNDS_S.to_vec()),
            &["service", "outcome"],
        )?;
        registry.register(Box::new(wait.clone()))?;
        let waiting = IntGaugeVec::new(
            Opts::new("poplargap_waiting_requests", "Requests that wait for room"),
            &["service", "priority"],
        )?;
        registry.register(Box::new(waiting.clone()))?;
        Ok(Self {
            expected,
            expected_ratio,
            share,
            wait,
            waiting,
        })
    }

    pub(crate) fn add_waiting(&self, service: &str, priority: u8, change: i64) {
        self.waiting
            .with_label_values(&[service, &priority.to_string()])
            .add(change);
    }

    pub(crate) fn record_wait(&self, service: &str, outcome: &str, waited: Duration) {
        self.wait
            .with_label_values(&[service, outcome])
            .observe(waited.as_secs_f64());
    }

    pub(crate) fn record_expected(&self, service: &str, expected: Duration, share: f64) {
        self.share.with_label_values(&[service]).set(share);
        self.expected
            .with_label_values(&[service])
            .set(expected.as_secs_f64());
    }

    pub(crate) fn record_expected_ratio(&self, service: &str, ratio: f64) {
        self.expected_ratio
            .with_label_values(&[service])
            .observe(ratio);
    }
}
