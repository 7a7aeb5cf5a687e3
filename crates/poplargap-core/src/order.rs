//! Orders to engines: the lease for sending them, their progress, and the limit on engines that
//! load weights at once.

mod acknowledged_orders;
mod engine_order;
mod lease_holder;
mod order_book;
mod order_times;
mod weight_load_record;

pub use {
    acknowledged_orders::{AcknowledgedOrders, AcknowledgedRecord},
    engine_order::{EngineOrder, OrderKind, OrderStep, ordered_steps},
    lease_holder::{LeaseHolder, LeasePhase, SendPermit},
    order_book::{DueOrder, OrderBook, OrderOutcome},
    order_times::OrderTimes,
    weight_load_record::{WeightLoadRecord, WeightLoadTicket},
};
