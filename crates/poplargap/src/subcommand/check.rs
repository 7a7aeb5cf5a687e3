//! `check`: reports all faults of declarations.

use {
    super::take_files,
    crate::{CommandError, CommandOptions, CommandOutput, source_files::SourceFiles},
    pico_args::Arguments,
    poplargap_core::catalogue::{EntrySet, declaration::CatalogueDeclaration},
    serde::Serialize,
    std::{
        fmt::{self, Display, Formatter},
        io::Write,
    },
};

pub(super) const HELP: &str = "\
Reports all faults of declarations together and writes nothing.

Usage: poplargap check [--store ADDRESS] FILE…

All files are read together. When a store is named, by option or variable, names are also looked
up in the catalogue in force; otherwise the files must hold every entry that they name.

Exit codes: 0 no fault, 1 the store can't be read, 2 faults.

Example:
  poplargap check catalogue/pools.ini catalogue/classes.ini
";

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct CheckLine {
    entries: usize,
}

impl Display for CheckLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} entries, no fault", self.entries)
    }
}

pub(super) async fn run<W: Write>(
    arguments: Arguments,
    options: &CommandOptions,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let files = take_files(arguments, "poplargap check FILE…")?;
    let sources = SourceFiles::read(files)?;
    let base = match options.store {
        Some(_) => options.open_store()?.read().await?.entries(),
        None => EntrySet::default(),
    };
    let declaration =
        CatalogueDeclaration::check(&sources.texts(), &base).map_err(CommandError::Findings)?;
    let entries = declaration.entries().len();
    output.line(&CheckLine { entries })
}
