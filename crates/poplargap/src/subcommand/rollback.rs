//! `rollback`: writes an earlier version of an entry as a new one.

use {
    super::{history::read_versions, parse_entry, single_edit::write_entry, take_exactly},
    crate::{CommandError, CommandOptions, CommandOutput},
    pico_args::Arguments,
    std::io::Write,
};

pub(super) const HELP: &str = "\
Writes an earlier version of an entry as a new version.

Usage: poplargap rollback KIND NAME VERSION

The entry is checked against the catalogue in force, as in `apply`. Going back to a version in
which the entry was removed removes it again.

Exit codes: 0 done, 1 failed, 2 faults or no such version, 3 conflict, 4 unknown outcome.

Example:
  poplargap rollback class bench-notes 3
";

pub(super) async fn run<W: Write>(
    arguments: Arguments,
    options: &CommandOptions,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let [kind, name, version] = take_exactly(arguments, "poplargap rollback KIND NAME VERSION")?;
    let entry = parse_entry(&kind, &name)?;
    let Ok(version) = version.parse::<u64>() else {
        let message = format!("`{version}` is no version; versions are whole numbers");
        return Err(CommandError::Arguments(message));
    };
    let store = options.open_store()?;
    let catalogue = store.read().await?;
    let versions = read_versions(&store, &entry).await?;
    let Some(record) = versions.into_iter().find(|kept| kept.version == version) else {
        return Err(CommandError::NoVersion { entry, version });
    };
    write_entry(&store, &catalogue, &entry, record.entry.as_ref(), output).await
}
