//! Starts the task that gives orders.

use {
    super::{StartError, daemon_base::DaemonBase, daemon_tasks::DaemonViews},
    crate::orders::{OrderInputs, OrderMetrics, OrderTask},
    poplargap_core::{order::OrderTimes, settings::DaemonSettings},
};

/// Starts the task, which gives orders while this daemon holds the lease.
pub(super) fn start_orders(
    settings: &DaemonSettings,
    base: &DaemonBase,
    views: &DaemonViews,
) -> Result<OrderTask, StartError> {
    let metrics = OrderMetrics::new(base.metrics.registry()).map_err(StartError::Metrics)?;
    let inputs = OrderInputs {
        catalogue: views.catalogue.clone(),
        connect: settings.timeouts.connect,
        data_centre: settings.daemon.data_centre.clone(),
        log: base.log.clone(),
        members: views.members.clone(),
        metrics,
        times: OrderTimes {
            execution: settings.timeouts.order,
            lease: settings.timeouts.order_lease,
        },
    };
    OrderTask::start(base.store.clone(), base.clock, inputs).map_err(StartError::Http)
}
