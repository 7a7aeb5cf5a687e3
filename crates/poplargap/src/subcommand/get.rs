//! `get`: prints entries of the catalogue.

use {
    super::{did_you_mean, parse_entry, parse_kind, take_rest},
    crate::{
        CommandError, CommandOptions, CommandOutput, EntryVersion, StoredCatalogue, VersionLock,
    },
    pico_args::Arguments,
    poplargap_core::{
        catalogue::{CatalogueEntry, EntryKind, EntryRef, declaration::render},
        finding::nearest_word,
    },
    serde::Serialize,
    std::{
        fmt::{self, Display, Formatter},
        io::Write,
    },
};

pub(super) const HELP: &str = "\
Prints entries of the catalogue as declarations, each with its version.

Usage: poplargap get [--versions] [KIND [NAME]]

KIND is class, data-centre, pool, upstream or workspace. `--versions` prints a lock file for
`apply --base` instead, which also lists removed entries.

Exit codes: 0 printed, 1 the store can't be read, 2 no such entry.

Example:
  poplargap get class bench-notes
";

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct EntryLine<'a> {
    entry: &'a CatalogueEntry,
    #[serde(flatten)]
    version: EntryVersion,
}

impl Display for EntryLine<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "# {}\n{}", self.version, render(self.entry))
    }
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct VersionLine<'a> {
    entry: &'a EntryRef,
    #[serde(flatten)]
    version: EntryVersion,
}

impl Display for VersionLine<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&VersionLock::render(self.entry, &self.version))
    }
}

/// The entries to print.
enum Selection {
    All,
    Entry(EntryRef),
    Kind(EntryKind),
}

impl Selection {
    fn parse(words: &[String]) -> Result<Self, CommandError> {
        match words {
            [] => Ok(Self::All),
            [kind] => parse_kind(kind).map(Self::Kind),
            [kind, name] => parse_entry(kind, name).map(Self::Entry),
            _ => {
                let usage = "usage: poplargap get [--versions] [KIND [NAME]]";
                Err(CommandError::Arguments(usage.to_owned()))
            }
        }
    }

    fn contains(&self, entry: &EntryRef) -> bool {
        match self {
            Self::All => true,
            Self::Entry(selected) => selected == entry,
            Self::Kind(kind) => *kind == entry.kind,
        }
    }
}

/// Returns the content of an entry in force.
pub(super) fn find<'a>(
    catalogue: &'a StoredCatalogue,
    entry: &EntryRef,
) -> Result<&'a CatalogueEntry, CommandError> {
    if let Some(content) = catalogue.content(entry) {
        return Ok(content);
    }
    let hint = if let Some(record) = catalogue.record(entry) {
        format!("; it was removed in version {}", record.version)
    } else {
        let entries = catalogue.entries();
        did_you_mean(nearest_word(&entry.name, entries.names(entry.kind)))
    };
    let entry = entry.clone();
    Err(CommandError::NoEntry { entry, hint })
}

pub(super) async fn run<W: Write>(
    mut arguments: Arguments,
    options: &CommandOptions,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let versions = arguments.contains("--versions");
    let selection = Selection::parse(&take_rest(arguments)?)?;
    let catalogue = options.open_store()?.read().await?;
    if let Selection::Entry(entry) = &selection
        && !versions
    {
        find(&catalogue, entry)?;
    }
    for (entry, record) in catalogue
        .records()
        .filter(|(entry, _)| selection.contains(entry))
    {
        let version = EntryVersion::from(record);
        if versions {
            output.line(&VersionLine { entry, version })?;
        } else if let Some(entry) = &record.entry {
            output.line(&EntryLine { entry, version })?;
        }
    }
    Ok(())
}
