//! The edits that change the catalogue in force into a declared one.

use {
    crate::{
        CommandError, EditConflict, EditReceipt, EntryEdit, StaleVersions, StoredCatalogue,
        VersionLock, WriteId,
    },
    poplargap_core::catalogue::{
        EntryKind, EntrySet,
        declaration::{CatalogueDeclaration, EntryChange, EntryIntent, diff},
    },
};

/// One edit with the change that it makes.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedEdit {
    /// What changes.
    pub change: EntryChange,
    /// The edit.
    pub edit: EntryEdit,
}

/// Edits ordered so that no entry in force ever refers to a missing one.
#[derive(Clone, Debug, PartialEq)]
pub struct EditPlan {
    /// The edits in the order in which they are to be written.
    pub edits: Vec<PlannedEdit>,
    /// Declared entries that already have their content.
    pub unchanged: Vec<EditReceipt>,
}

impl EditPlan {
    /// Plans the edits, each based on the version of its entry in `base`.
    #[must_use]
    pub fn new(
        declaration: &CatalogueDeclaration,
        catalogue: &StoredCatalogue,
        base: &VersionLock,
    ) -> Self {
        let mut plan = Self {
            edits: Vec::new(),
            unchanged: Vec::new(),
        };
        for (entry, declared) in declaration.entries() {
            let content = match &declared.intent {
                EntryIntent::Put(content) => Some(content),
                EntryIntent::Remove => None,
            };
            let before: EntrySet = catalogue.content(entry).cloned().into_iter().collect();
            let after: EntrySet = content.cloned().into_iter().collect();
            let Some(change) = diff(&before, &after).pop() else {
                plan.unchanged.push(EditReceipt::Unchanged {
                    entry: entry.clone(),
                    version: catalogue.version(entry),
                });
                continue;
            };
            let edit = EntryEdit {
                base: base.version(entry),
                content: content.cloned(),
                entry: entry.clone(),
                write_id: WriteId::random(),
            };
            plan.edits.push(PlannedEdit { change, edit });
        }
        plan.edits.sort_by_key(|planned| write_stage(&planned.edit));
        plan
    }

    /// Checks that every edit is based on the version in force.
    ///
    /// # Errors
    ///
    /// Returns all conflicts together.
    pub fn check_versions(&self, catalogue: &StoredCatalogue) -> Result<(), CommandError> {
        let conflicts: Vec<EditConflict> = self
            .edits
            .iter()
            .map(|planned| &planned.edit)
            .filter(|edit| catalogue.version(&edit.entry) != edit.base)
            .map(|edit| EditConflict::new(edit, catalogue.version(&edit.entry)))
            .collect();
        if conflicts.is_empty() {
            Ok(())
        } else {
            Err(CommandError::VersionsStale(StaleVersions(conflicts)))
        }
    }
}

/// Returns the edit's position in the plan: entries are written after those that they refer to,
/// and removed before them.
fn write_stage(edit: &EntryEdit) -> i8 {
    let stage = match edit.entry.kind {
        EntryKind::DataCentre => 1,
        EntryKind::Workspace => 2,
        EntryKind::Pool => 3,
        EntryKind::Upstream => 4,
        EntryKind::Class => 5,
    };
    if edit.content.is_some() {
        stage
    } else {
        10 - stage
    }
}
