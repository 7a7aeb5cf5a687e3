//! The orders of a daemon that holds the lease for orders.

use {
    super::{
        OrderInputs,
        order_client::{OrderClient, SendGate},
        restart_watch::RestartWatch,
    },
    poplargap_core::{
        catalogue::{CatalogueSnapshot, UpstreamEntry},
        instant::MonotonicInstant,
        name::UpstreamName,
        order::{AcknowledgedRecord, DueOrder, OrderBook, OrderKind, OrderOutcome, OrderTimes},
    },
    std::sync::Arc,
    tokio::{sync::mpsc, task::JoinSet},
};

#[derive(Debug)]
pub(super) struct FinishedOrder {
    fence: u64,
    kind: OrderKind,
    outcome: OrderOutcome,
    upstream: UpstreamName,
}

/// Orders under one held lease; the next lease starts with a new one.
pub(super) struct HeldLease {
    pub(super) book: OrderBook,
    catalogue_revision: Option<u64>,
    pub(super) fence: u64,
    /// Whether orders have to wait until the store has the record.
    pub(super) must_store: bool,
    /// Earliest time of the next write of acknowledged orders.
    pub(super) next_store: MonotonicInstant,
    restarts: mpsc::UnboundedReceiver<UpstreamName>,
    /// Earliest time of the next write of a record that orders wait for.
    pub(super) retry_store: MonotonicInstant,
    pub(super) running: JoinSet<FinishedOrder>,
    /// Whether the store lacks acknowledged orders.
    pub(super) unstored: bool,
    watch: RestartWatch,
}

impl HeldLease {
    pub(super) fn new(stored: AcknowledgedRecord, fence: u64, times: OrderTimes) -> Self {
        let (watch, restarts) = RestartWatch::new();
        Self {
            book: OrderBook::new(stored, times),
            catalogue_revision: None,
            fence,
            must_store: false,
            next_store: MonotonicInstant::default(),
            restarts,
            retry_store: MonotonicInstant::default(),
            running: JoinSet::new(),
            unstored: false,
            watch,
        }
    }

    pub(super) fn update(&mut self, snapshot: &CatalogueSnapshot, entries: &[Arc<UpstreamEntry>]) {
        if self.catalogue_revision != Some(snapshot.revision) {
            self.catalogue_revision = Some(snapshot.revision);
            self.unstored |= self.book.update(entries);
            self.watch.update(entries);
        }
    }

    /// Starts sending an order; [`Self::process_results`] handles its outcome.
    pub(super) fn send(&mut self, order: DueOrder, client: OrderClient, gate: SendGate) {
        let DueOrder { step, upstream } = order;
        self.book.start(&upstream.name, &step, gate.clock.now());
        self.running.spawn(async move {
            let fence = gate.fence;
            let order = step.with_fence(fence);
            let outcome = client.send(upstream.address, &order, gate).await;
            FinishedOrder {
                fence,
                kind: step.order,
                outcome,
                upstream: upstream.name.clone(),
            }
        });
    }

    /// Handles the outcomes of orders and the restarts of engines.
    pub(super) fn process_results(&mut self, inputs: &OrderInputs, now: MonotonicInstant) {
        while let Some(finished) = self.running.try_join_next() {
            let Ok(finished) = finished else {
                continue;
            };
            let FinishedOrder {
                fence,
                kind,
                outcome,
                upstream,
            } = finished;
            inputs.metrics.count(kind, outcome);
            if outcome == OrderOutcome::Fenced {
                slog::warn!(inputs.log, "engine refused an order after one with a higher fencing number"; "upstream" => %upstream, "fence" => fence);
            }
            self.unstored |= self.book.finish(&upstream, fence, outcome, now);
        }
        while let Ok(upstream) = self.restarts.try_recv() {
            inputs.metrics.restarts.inc();
            if self.book.restart(&upstream) {
                self.must_store = true;
                slog::info!(inputs.log, "engine restarted"; "upstream" => %upstream);
            }
        }
    }
}
