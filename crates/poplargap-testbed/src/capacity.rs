//! Measures a daemon's processor time, memory, control traffic and store calls as the fleet, its
//! catalogue and its traffic grow.

mod capacity_error;
mod capacity_report;
mod catalogue_filler;
mod data_probe;
mod fleet_cost;
mod fleet_probe;
mod fleet_size;
mod process_sample;
mod vm_listing;

pub use {
    capacity_error::CapacityError,
    capacity_report::{CapacityReport, CapacityRow},
    catalogue_filler::CatalogueFiller,
    data_probe::{DataCost, DataLoad, measure_data},
    fleet_cost::{DaemonCost, FleetCost},
    fleet_probe::measure_fleet,
    fleet_size::FleetSize,
    process_sample::ProcessSample,
};
