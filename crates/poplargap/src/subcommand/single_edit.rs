//! Edits of one entry by commands that read no file.

use {
    super::apply::write_plan,
    crate::{CatalogueStore, CommandError, CommandOutput, StoredCatalogue, VersionLock},
    poplargap_core::catalogue::{
        CatalogueEntry, EntryRef,
        declaration::{CatalogueDeclaration, SourceText, render},
    },
    poplargap_store::KeyValueStore,
    std::io::Write,
};

/// Checks and writes one entry's new content, or its removal.
pub(super) async fn write_entry<S: KeyValueStore, W: Write>(
    store: &CatalogueStore<S>,
    catalogue: &StoredCatalogue,
    entry: &EntryRef,
    content: Option<&CatalogueEntry>,
    output: &mut CommandOutput<'_, W>,
) -> Result<(), CommandError> {
    let text = content.map_or_else(|| format!("[{entry}]\nremove = yes\n"), render);
    let source = SourceText {
        file: "(this edit)",
        text: &text,
    };
    let declaration = CatalogueDeclaration::check(&[source], &catalogue.entries())
        .map_err(CommandError::Findings)?;
    let base = VersionLock::from(catalogue);
    write_plan(store, &declaration, catalogue, &base, output).await
}
