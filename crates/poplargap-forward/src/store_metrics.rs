//! Metrics of the reads of the store.

use {
    poplargap_store::StoreEra,
    prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry},
};

/// Metrics of the reads of the store; clones share their values.
#[derive(Clone, Debug)]
pub(crate) struct StoreMetrics {
    era: IntGauge,
    era_changes: IntCounter,
    reads: IntCounterVec,
}

impl StoreMetrics {
    /// Creates the metrics in a registry.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric's name or description is invalid.
    pub(crate) fn new(registry: &Registry) -> prometheus::Result<Self> {
        let era = IntGauge::new(
            "poplargap_store_era",
            "Era of the store whose values are in force",
        )?;
        let era_changes = IntCounter::new(
            "poplargap_store_era_changes_total",
            "Times that the store came back from a copy",
        )?;
        let reads = Opts::new(
            "poplargap_store_reads_total",
            "Reads of the store by their outcome",
        );
        let reads = IntCounterVec::new(reads, &["outcome"])?;
        registry.register(Box::new(era.clone()))?;
        registry.register(Box::new(era_changes.clone()))?;
        registry.register(Box::new(reads.clone()))?;
        Ok(Self {
            era,
            era_changes,
            reads,
        })
    }

    pub(crate) fn record_era_change(&self) {
        self.era_changes.inc();
    }

    pub(crate) fn record_read(&self, outcome: &str) {
        self.reads.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn set_era(&self, era: StoreEra) {
        self.era
            .set(i64::try_from(era.number()).unwrap_or(i64::MAX));
    }
}
