//! Counters and gauges of orders.

use {
    poplargap_core::order::{OrderKind, OrderOutcome},
    prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry},
};

/// Metrics of the orders that one daemon gives.
#[derive(Clone, Debug)]
pub struct OrderMetrics {
    /// Whether this daemon holds the lease.
    pub lease_held: IntGauge,
    /// Engines that wait for a ticket to load weights.
    pub loads_waiting: IntGauge,
    /// Engines that haven't acknowledged all their orders.
    pub outstanding: IntGauge,
    /// Detected restarts of engines.
    pub restarts: IntCounter,
    orders: IntCounterVec,
}

impl OrderMetrics {
    /// Creates the metrics as part of `registry`.
    ///
    /// # Errors
    ///
    /// Returns an error when the registry has such a metric already.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let opts = Opts::new(
            "poplargap_orders_total",
            "Orders to engines, by kind and outcome",
        );
        let orders = IntCounterVec::new(opts, &["kind", "outcome"])?;
        registry.register(Box::new(orders.clone()))?;
        let restarts = IntCounter::new(
            "poplargap_orders_engine_restarts_total",
            "Engines seen to start anew",
        )?;
        registry.register(Box::new(restarts.clone()))?;
        Ok(Self {
            lease_held: gauge(
                "poplargap_orders_lease_held",
                "Whether this daemon holds the lease for orders",
            )?,
            loads_waiting: gauge(
                "poplargap_orders_loads_waiting",
                "Engines that wait for leave to load weights",
            )?,
            orders,
            outstanding: gauge(
                "poplargap_orders_outstanding",
                "Engines that haven't acknowledged all their orders",
            )?,
            restarts,
        })
    }

    /// Counts an order.
    pub fn count(&self, kind: OrderKind, outcome: OrderOutcome) {
        let labels: [&str; 2] = [kind.into(), outcome.into()];
        self.orders.with_label_values(&labels).inc();
    }
}
