//! `apply`: writes declarations to the catalogue.

use {
    super::take_files,
    crate::{
        CatalogueStore, CommandError, CommandOptions, CommandOutput, EditPlan, EditReceipt,
        StoredCatalogue, VersionLock, command_options::take_text, source_files::SourceFiles,
    },
    pico_args::Arguments,
    poplargap_core::catalogue::declaration::CatalogueDeclaration,
    poplargap_store::KeyValueStore,
    std::io::Write,
};

pub(super) const HELP: &str = "\
Writes declarations to the catalogue.

Usage: poplargap apply [--base LOCK] FILE…

The files are checked like `check` does; with faults nothing is written. Each edit is based on
the version read at the start, or on that of a lock file written by `poplargap get --versions`.
Where another version is in force, the edit is a conflict that names both. Entries are written
one by one, those before the entries that name them first; the first edit that doesn't succeed
ends the command, and the rest is listed as not tried. Applying again is harmless.

`accepted` means that the store has the edit.

Exit codes: 0 done, 1 failed, 2 faults, 3 conflict, 4 unknown outcome.

Example:
  poplargap get --versions > catalogue.lock
  poplargap apply --base catalogue.lock catalogue/*.ini
";

pub(super) async fn run<W: Write>(
    mut arguments: Arguments,
    options: &CommandOptions,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let lock_file = take_text(&mut arguments, "--base")?;
    let files = take_files(arguments, "poplargap apply [--base LOCK] FILE…")?;
    let sources = SourceFiles::read(files)?;
    let lock = lock_file.map(read_lock).transpose()?;
    let store = options.open_store()?;
    let catalogue = store.read().await?;
    let declaration = CatalogueDeclaration::check(&sources.texts(), &catalogue.entries())
        .map_err(CommandError::Findings)?;
    let base = lock.unwrap_or_else(|| VersionLock::from(&catalogue));
    write_plan(&store, &declaration, &catalogue, &base, output).await
}

/// Writes the edits that change `catalogue` into the declared one.
pub(super) async fn write_plan<S: KeyValueStore, W: Write>(
    store: &CatalogueStore<S>,
    declaration: &CatalogueDeclaration,
    catalogue: &StoredCatalogue,
    base: &VersionLock,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let plan = EditPlan::new(declaration, catalogue, base);
    plan.check_versions(catalogue)?;
    for receipt in &plan.unchanged {
        output.line(receipt)?;
    }
    let mut edits = plan.edits.iter().map(|planned| &planned.edit);
    while let Some(edit) = edits.next() {
        match store.edit(edit).await {
            Ok(receipt) => output.line(&receipt)?,
            Err(error) => {
                for left in edits {
                    let entry = left.entry.clone();
                    output.line(&EditReceipt::NotTried { entry })?;
                }
                return Err(error);
            }
        }
    }
    Ok(())
}

fn read_lock(file: String) -> Result<VersionLock, CommandError> {
    let sources = SourceFiles::read(vec![file])?;
    let text = sources.texts()[0];
    VersionLock::read(text.file, text.text).map_err(CommandError::Findings)
}
