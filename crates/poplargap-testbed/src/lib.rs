//! Stand-ins for what surrounds the fleet, with faults to switch on in tests.

pub mod relay;
pub mod store;
//! Stand-ins for the platform and the upstreams, and a load tool.

pub mod caller;
pub mod desk;
pub mod engine;
pub mod fault;
