//! Orders to engines: who may give them, what is outstanding, and how many load weights at once.

mod acknowledged_orders;
mod engine_order;
mod load_record;
mod order_book;
mod order_holder;
mod order_times;

pub use {
    acknowledged_orders::{AcknowledgedOrders, AcknowledgedRecord},
    engine_order::{EngineOrder, OrderKind, OrderStep, ordered_steps},
    load_record::{LoadRecord, LoadTicket},
    order_book::{DueOrder, OrderBook, OrderOutcome},
    order_holder::{HolderPhase, OrderHolder, SendPermit},
    order_times::OrderTimes,
};
