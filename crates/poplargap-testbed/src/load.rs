//! Open-loop load of chats with several turns and of service calls, with a report.

mod call_record;
mod chat_caller;
mod chat_plan;
mod desk_caller;
mod desk_plan;
mod engine_churn;
mod engine_fleet;
mod group_tally;
mod load_context;
mod load_finding;
mod load_report;
mod load_run;
mod load_schedule;
mod load_settings;
mod load_tally;
mod reuse_reference;
mod skew_probe;
mod work_profile;
mod workspace_load;

pub use {
    call_record::{CallKind, CallRecord},
    chat_plan::{ChatPlan, TurnPlan},
    desk_plan::{DeskPlan, DeskWork},
    engine_churn::{EngineChurn, NoChurn},
    engine_fleet::EngineFleet,
    load_finding::{LoadFinding, LoadFindings},
    load_report::{GroupReport, LatencyReport, LoadReport},
    load_run::{LoadRun, run_load},
    load_schedule::LoadSchedule,
    load_settings::{DeskLoadSettings, LoadSettings, ReferenceSettings, SurgeWindow},
    reuse_reference::{ReuseCount, ReuseReference},
    skew_probe::SkewReport,
    work_profile::{WorkProfile, WorkShape},
    workspace_load::{ClassLoad, WorkspaceLoad},
};
