//! The operators' command line of the poplargap router fleet.

mod catalogue_store;
mod command_error;
mod command_options;
mod command_output;
mod daemon_client;
mod edit_conflict;
mod edit_plan;
mod edit_receipt;
mod entry_edit;
mod entry_version;
mod environment;
mod exit_status;
mod run;
mod source_files;
mod stale_versions;
mod stored_catalogue;
mod subcommand;
mod unknown_edit;
mod version_lock;
mod write_id;

pub use {
    catalogue_store::CatalogueStore,
    command_error::CommandError,
    command_options::CommandOptions,
    command_output::CommandOutput,
    edit_conflict::EditConflict,
    edit_plan::{EditPlan, PlannedEdit},
    edit_receipt::EditReceipt,
    entry_edit::EntryEdit,
    entry_version::EntryVersion,
    environment::Environment,
    exit_status::ExitStatus,
    run::{main, run},
    stale_versions::StaleVersions,
    stored_catalogue::StoredCatalogue,
    unknown_edit::UnknownEdit,
    version_lock::VersionLock,
    write_id::WriteId,
};
