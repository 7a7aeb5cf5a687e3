//! Settings of the daemon as validated types.

mod choices;
mod daemon_section;
mod daemon_settings;
mod fleet_section;
mod invariants_section;
mod keys;
mod limits_section;
mod log_section;
mod operators_section;
mod placement_section;
mod secrets;
mod store_section;
mod timeouts_section;
mod vm_list_section;

pub use {
    choices::{LogFormat, LogLevel},
    daemon_section::DaemonSection,
    daemon_settings::DaemonSettings,
    fleet_section::FleetSection,
    invariants_section::InvariantsSection,
    keys::SETTING_KEYS,
    limits_section::LimitsSection,
    log_section::LogSection,
    operators_section::OperatorsSection,
    placement_section::PlacementSection,
    secrets::{FleetSecret, OperatorToken},
    store_section::StoreSection,
    timeouts_section::TimeoutsSection,
    vm_list_section::VmListSection,
};
