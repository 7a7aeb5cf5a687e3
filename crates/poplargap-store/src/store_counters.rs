//! Metrics of calls to the platform.

use {
    crate::{CallKind, CallOutcome, ControlBytes},
    prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, core::Collector},
};

/// Counts calls to the platform, waiting watches and dropped connection pools.
///
/// Clones share their counts.
#[derive(Clone, Debug)]
pub struct StoreCounters {
    pub(crate) bytes: ControlBytes,
    calls: IntCounterVec,
    pub(crate) pools_dropped: IntCounter,
    pub(crate) waiting_watches: IntGauge,
}

impl StoreCounters {
    /// Creates counters at zero.
    #[must_use]
    pub fn new() -> Self {
        Self::with_bytes(ControlBytes::new())
    }

    /// Creates counters at zero that add to `bytes`, which the caller registers separately.
    ///
    /// # Panics
    ///
    /// Panics when the metrics' constant names are invalid, which is a programming error.
    #[must_use]
    pub fn with_bytes(bytes: ControlBytes) -> Self {
        let calls = Opts::new(
            "poplargap_store_calls_total",
            "Calls to the platform by kind and outcome",
        );
        Self {
            bytes,
            calls: IntCounterVec::new(calls, &["call", "outcome"]).expect("name is valid"),
            pools_dropped: IntCounter::new(
                "poplargap_store_pools_dropped_total",
                "Connection pools dropped after a timeout",
            )
            .expect("name is valid"),
            waiting_watches: IntGauge::new(
                "poplargap_store_waiting_watches",
                "Watches that wait for an answer",
            )
            .expect("name is valid"),
        }
    }

    /// Returns the counters of the bytes of the calls.
    #[must_use]
    pub fn bytes(&self) -> &ControlBytes {
        &self.bytes
    }

    /// Returns the number of completed calls of a kind with an outcome.
    #[must_use]
    pub fn calls(&self, kind: CallKind, outcome: CallOutcome) -> u64 {
        self.counter(kind, outcome).get()
    }

    /// Returns the number of connection pools dropped after a timeout.
    #[must_use]
    pub fn pools_dropped(&self) -> u64 {
        self.pools_dropped.get()
    }

    /// Registers the counters, except for those of bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the registry already holds metrics of the same names.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        let collectors: [Box<dyn Collector>; 3] = [
            Box::new(self.calls.clone()),
            Box::new(self.pools_dropped.clone()),
            Box::new(self.waiting_watches.clone()),
        ];
        collectors
            .into_iter()
            .try_for_each(|collector| registry.register(collector))
    }

    /// Returns the number of watches that are waiting for an answer.
    #[must_use]
    pub fn waiting_watches(&self) -> i64 {
        self.waiting_watches.get()
    }

    pub(crate) fn counter(&self, kind: CallKind, outcome: CallOutcome) -> IntCounter {
        self.calls
            .with_label_values(&[<&str>::from(kind), outcome.into()])
    }
}

impl Default for StoreCounters {
    fn default() -> Self {
        Self::new()
    }
}
