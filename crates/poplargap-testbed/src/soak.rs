//! Long randomised runs with faults on daemon processes.

mod call_check;
mod call_record;
mod catalogue_edit;
mod daemon_faults;
mod daemon_state;
mod edit_check;
mod fault_driver;
mod fault_kind;
mod fault_schedule;
mod fault_tally;
mod fault_window;
mod ledger_check;
mod load_context;
mod load_generator;
mod platform_faults;
mod run_collector;
mod soak_report;
mod soak_run;
mod soak_settings;
mod status_watch;
mod upstream_faults;
mod violation;

pub use {
    call_record::{CallWork, SoakCall},
    fault_kind::FaultKind,
    fault_schedule::{FaultPlan, FaultSchedule},
    fault_tally::FaultTally,
    fault_window::FaultWindow,
    soak_report::SoakReport,
    soak_run::run_soak,
    soak_settings::SoakSettings,
    violation::{Violation, ViolationKind},
};
