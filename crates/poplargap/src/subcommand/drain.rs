//! `drain`: stops sending new requests to an upstream.

use {
    super::{get::find, single_edit::write_entry, take_exactly},
    crate::{CommandError, CommandOptions, CommandOutput},
    pico_args::Arguments,
    poplargap_core::catalogue::{CatalogueEntry, EntryKind, EntryRef, UpstreamState},
    std::io::Write,
};

pub(super) const HELP: &str = "\
Gives an upstream no new work; it finishes what it has.

Usage: poplargap drain UPSTREAM

This is an edit of the upstream's entry (`state = draining`), with a version of its own. Put the
same into the declaration, or the next `apply` sets it back; `rollback` does so at once.

Exit codes: 0 done, 1 failed, 2 no such upstream, 3 conflict, 4 unknown outcome.

Example:
  poplargap drain curves-7
";

pub(super) async fn run<W: Write>(
    arguments: Arguments,
    options: &CommandOptions,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let [name] = take_exactly(arguments, "poplargap drain UPSTREAM")?;
    let entry = EntryRef {
        kind: EntryKind::Upstream,
        name,
    };
    let store = options.open_store()?;
    let catalogue = store.read().await?;
    let mut content = find(&catalogue, &entry)?.clone();
    if let CatalogueEntry::Upstream(upstream) = &mut content {
        upstream.state = UpstreamState::Draining;
    }
    write_entry(&store, &catalogue, &entry, Some(&content), output).await
}
