//! `diff`: shows what applying declarations would change.

use {
    super::take_files,
    crate::{
        CommandError, CommandOptions, CommandOutput, EditPlan, EntryVersion, PlannedEdit,
        VersionLock, source_files::SourceFiles,
    },
    pico_args::Arguments,
    poplargap_core::catalogue::{
        EntryRef,
        declaration::{CatalogueDeclaration, EntryChange, KeyChange},
    },
    serde::Serialize,
    std::{
        fmt::{self, Display, Formatter},
        io::Write,
    },
};

pub(super) const HELP: &str = "\
Shows what applying declarations would change, with versions, and writes nothing.

Usage: poplargap diff FILE…

`+` is a new entry, `~` a changed one and `-` one that goes; digests of keys aren't shown.

Exit codes: 0 shown, 1 the store can't be read, 2 faults.

Example:
  poplargap diff catalogue/classes.ini
";

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct DiffLine {
    change: &'static str,
    entry: EntryRef,
    keys: Vec<KeyChange>,
    #[serde(flatten)]
    version: EntryVersion,
}

impl DiffLine {
    fn new(planned: &PlannedEdit) -> Self {
        let change = match planned.change {
            EntryChange::Added(_) => "added",
            EntryChange::Changed { .. } => "changed",
            EntryChange::Removed(_) => "removed",
        };
        Self {
            change,
            entry: planned.edit.entry.clone(),
            keys: planned.change.keys(),
            version: planned.edit.base.clone(),
        }
    }
}

impl Display for DiffLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            "added" => '+',
            "removed" => '-',
            _ => '~',
        };
        write!(f, "{sign} {}, {}", self.entry, self.version)?;
        for key in &self.keys {
            write!(f, "\n    {key}")?;
        }
        Ok(())
    }
}

pub(super) async fn run<W: Write>(
    arguments: Arguments,
    options: &CommandOptions,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let files = take_files(arguments, "poplargap diff FILE…")?;
    let sources = SourceFiles::read(files)?;
    let catalogue = options.open_store()?.read().await?;
    let declaration = CatalogueDeclaration::check(&sources.texts(), &catalogue.entries())
        .map_err(CommandError::Findings)?;
    let plan = EditPlan::new(&declaration, &catalogue, &VersionLock::from(&catalogue));
    plan.edits
        .iter()
        .try_for_each(|planned| output.line(&DiffLine::new(planned)))
}
