//! `history`: lists the versions of an entry.

use {
    super::{get::find, parse_entry, take_exactly},
    crate::{CatalogueStore, CommandError, CommandOptions, CommandOutput, EntryVersion},
    pico_args::Arguments,
    poplargap_core::catalogue::{
        CatalogueEntry, EntryRecord, EntryRef, HistoryRecord, declaration::render,
    },
    poplargap_store::KeyValueStore,
    serde::Serialize,
    std::{
        fmt::{self, Display, Formatter},
        io::Write,
    },
};

pub(super) const HELP: &str = "\
Lists the kept versions of an entry, oldest first; the last is in force.

Usage: poplargap history KIND NAME

The store keeps the 16 versions before the one in force. A version is kept there before the
write that replaces it, so that an interrupted edit loses none.

Exit codes: 0 listed, 1 the store can't be read, 2 no such entry.

Example:
  poplargap history class bench-notes
";

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct HistoryLine {
    entry: Option<CatalogueEntry>,
    #[serde(flatten)]
    version: EntryVersion,
}

impl Display for HistoryLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "# {}", self.version)?;
        match &self.entry {
            Some(entry) => write!(f, "\n{}", render(entry)),
            None => f.write_str(", removed\n"),
        }
    }
}

/// Returns all kept versions of an entry, oldest first; the last is in force.
pub(super) async fn read_versions<S: KeyValueStore>(
    store: &CatalogueStore<S>,
    entry: &EntryRef,
) -> Result<Vec<EntryRecord>, CommandError> {
    // The history is read after the catalogue, so that a version that is replaced in between isn't
    // missed.
    let catalogue = store.read().await?;
    let Some(current) = catalogue.record(entry) else {
        return find(&catalogue, entry).map(|_| Vec::new());
    };
    let history: HistoryRecord = store.history(entry).await?;
    let replaced = history.versions().iter();
    let mut versions: Vec<EntryRecord> = replaced
        .filter(|record| record.version < current.version)
        .cloned()
        .collect();
    versions.push(current.clone());
    Ok(versions)
}

pub(super) async fn run<W: Write>(
    arguments: Arguments,
    options: &CommandOptions,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let [kind, name] = take_exactly(arguments, "poplargap history KIND NAME")?;
    let entry = parse_entry(&kind, &name)?;
    let store = options.open_store()?;
    for record in read_versions(&store, &entry).await? {
        let version = EntryVersion::from(&record);
        let entry = record.entry;
        output.line(&HistoryLine { entry, version })?;
    }
    Ok(())
}
