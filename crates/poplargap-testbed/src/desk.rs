//! A stand-in for a plain service whose calls may not all be repeated.
//!
//! It runs each call that it gets, of any method and path but `/drain`, `/faults`, `/ledger` and
//! `/load`, also when an earlier one had the same `idempotency-key`.

mod booking_record;
mod desk_routes;
mod desk_settings;
mod desk_stand_in;
mod desk_task;

pub use {
    booking_record::{BookingAnswer, BookingRecord, DeskLedger, DeskLoad},
    desk_settings::DeskSettings,
    desk_stand_in::DeskStandIn,
    desk_task::DeskGone,
};
