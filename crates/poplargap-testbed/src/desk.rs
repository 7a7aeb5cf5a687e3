//! A stand-in for a plain HTTP service with calls that aren't idempotent.
//!
//! It executes every call it receives, whatever the method and path, except for the control paths
//! `/drain`, `/faults`, `/ledger` and `/load`. It doesn't deduplicate: a second call with the same
//! `idempotency-key` is executed as well.

mod booking_record;
mod desk_routes;
mod desk_settings;
mod desk_stand_in;
mod desk_task;

pub use {
    booking_record::{BookingAnswer, BookingRecord, DeskLedger, DeskLoad},
    desk_settings::DeskSettings,
    desk_stand_in::DeskStandIn,
    desk_task::DeskTaskError,
};
