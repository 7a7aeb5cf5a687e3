//! Stand-ins for what surrounds the fleet, with faults to switch on in tests.

pub mod relay;
pub mod store;
