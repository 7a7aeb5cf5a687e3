//! Stand-ins for the platform, the store and the upstreams, with tools for load, fault, soak and
//! capacity tests.

pub mod caller;
pub mod capacity;
pub mod desk;
pub mod engine;
pub mod fault;
pub mod load;
pub mod relay;
pub mod replica;
pub mod site;
pub mod soak;
pub mod store;
