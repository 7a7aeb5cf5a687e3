//! Orders received by an engine and the check of their fencing numbers.

use {
    poplargap_core::{catalogue::FencingCheck, order::EngineOrder},
    serde::{Deserialize, Serialize},
};

/// An order and whether it was executed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OrderRecord {
    /// Whether the order was executed.
    pub accepted: bool,
    /// Highest fencing number received so far, including this order's.
    pub highest_fence: u64,
    /// The order as received.
    pub order: EngineOrder,
}

/// All orders received by one engine, including refused ones.
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

    /// Executes an order, unless fencing numbers are checked and this one is outdated.
    pub(super) fn push(&mut self, order: EngineOrder) -> OrderRecord {
        let outdated = order.fence < self.highest_fence;
        self.highest_fence = self.highest_fence.max(order.fence);
        let record = OrderRecord {
            accepted: !outdated || self.fencing == FencingCheck::Ignored,
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
