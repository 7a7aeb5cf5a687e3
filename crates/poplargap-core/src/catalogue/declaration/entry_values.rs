//! Conversion of entries into sections of a declaration.

use {
    crate::{
        catalogue::{CatalogueEntry, ClassEntry, PoolEntry, UpstreamEntry, WorkspaceEntry},
        input::render_duration,
    },
    std::fmt::Write,
};

/// A key and its value, in the syntax of a declaration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct EntryValue {
    pub(super) key: &'static str,
    pub(super) text: String,
}

/// Renders an entry as a section; parsing the section gives the same entry.
///
/// # Panics
///
/// Never: writing to a string can't fail.
#[must_use]
pub fn render(entry: &CatalogueEntry) -> String {
    let mut section = format!("[{}]\n", entry.entry_ref());
    for EntryValue { key, text } in entry_values(entry) {
        writeln!(section, "{key} = {text}").expect("writing to a string can't fail");
    }
    section
}

/// Returns the keys and values of an entry, sorted by key; absent values are left out.
pub(super) fn entry_values(entry: &CatalogueEntry) -> Vec<EntryValue> {
    let values = match entry {
        CatalogueEntry::Class(entry) => class_values(entry),
        CatalogueEntry::DataCentre(_) => Vec::new(),
        CatalogueEntry::Pool(entry) => pool_values(entry),
        CatalogueEntry::Upstream(entry) => upstream_values(entry),
        CatalogueEntry::Workspace(entry) => workspace_values(entry),
    };
    values
        .into_iter()
        .filter_map(|(key, text)| text.map(|text| EntryValue { key, text }))
        .collect()
}

fn class_values(entry: &ClassEntry) -> Vec<(&'static str, Option<String>)> {
    let limits = &entry.limits;
    let repeatable = if entry.repeatable { "yes" } else { "no" };
    vec![
        ("concurrency", optional(limits.concurrency)),
        ("deadline", Some(render_duration(entry.deadline()))),
        ("owner", Some(entry.owner.to_string())),
        ("pool", Some(entry.pool.to_string())),
        ("priority", Some(entry.priority.to_string())),
        ("repeatable", Some(repeatable.to_owned())),
        ("requests-per-second", optional(limits.requests_per_second)),
        ("tokens-per-minute", optional(limits.tokens_per_minute)),
    ]
}

fn optional<T: ToString>(value: Option<T>) -> Option<String> {
    value.map(|value| value.to_string())
}

fn pool_values(entry: &PoolEntry) -> Vec<(&'static str, Option<String>)> {
    vec![
        ("kind", Some(entry.kind.to_string())),
        ("loads-at-once", optional(entry.loads_at_once)),
        ("multiple", Some(f64::from(entry.multiple).to_string())),
        ("queue", Some(entry.queue.to_string())),
        ("shard-size", Some(entry.shard_size.to_string())),
        ("slots", Some(entry.slots.to_string())),
    ]
}

fn upstream_values(entry: &UpstreamEntry) -> Vec<(&'static str, Option<String>)> {
    let adapters: Vec<&str> = entry.adapters.iter().map(AsRef::as_ref).collect();
    let adapters = (!adapters.is_empty()).then(|| adapters.join(", "));
    vec![
        ("adapters", adapters),
        ("address", Some(entry.address.to_string())),
        ("data-centre", Some(entry.data_centre.to_string())),
        ("fencing", Some(entry.fencing.to_string())),
        ("model-version", optional(entry.model_version.as_ref())),
        ("pool", Some(entry.pool.to_string())),
        ("role", optional(entry.role)),
        ("state", Some(entry.state.to_string())),
    ]
}

fn workspace_values(entry: &WorkspaceEntry) -> Vec<(&'static str, Option<String>)> {
    vec![("key-sha256", Some(String::from(entry.key_sha256)))]
}
