//! Orders to an engine, with their fencing numbers.

use {
    poplargap_core::{catalogue::FencingCheck, order::EngineOrder},
    serde::{Deserialize, Serialize},
};

/// An order and what became of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OrderRecord {
    /// Whether the order was carried out.
    pub accepted: bool,
    /// Highest fencing number seen, this order's included.
    pub highest_fence: u64,
    /// The order.
    pub order: EngineOrder,
}

/// All orders of one engine.
#[derive(Debug)]
pub(super) struct OrderLedger {
    fencing: FencingCheck,
    highest_fence: u64,
    records: Vec<OrderRecord>,
}

impl OrderLedger {
    pub(super) fn new(fencing: FencingCheck) -> Self {
        Self {
            fencing,
            highest_fence: 0,
            records: Vec::new(),
        }
    }

    /// Carries out an order, unless its fencing number is checked and old.
    pub(super) fn push(&mut self, order: EngineOrder) -> OrderRecord {
        let old = order.fence < self.highest_fence;
        self.highest_fence = self.highest_fence.max(order.fence);
        let record = OrderRecord {
            accepted: !old || self.fencing == FencingCheck::Ignored,
            highest_fence: self.highest_fence,
            order,
        };
        self.records.push(record.clone());
        record
    }

    pub(super) fn records(&self) -> Vec<OrderRecord> {
        self.records.clone()
    }
}
