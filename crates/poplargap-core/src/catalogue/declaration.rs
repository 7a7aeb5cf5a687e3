//! Declarations of entries in INI files: parsing, validation, rendering and comparison.

mod catalogue_declaration;
mod entry_change;
mod entry_reading;
mod entry_values;
mod keys;
mod reference_check;

pub use {
    catalogue_declaration::{
        CatalogueDeclaration, DeclarationLocation, DeclaredEntry, EntryIntent, SourceText,
    },
    entry_change::{EntryChange, KeyChange, diff},
    entry_values::render,
    keys::CATALOGUE_KEYS,
};
