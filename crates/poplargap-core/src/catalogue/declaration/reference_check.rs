//! Validation of references between entries and of values that must be unique.

use {
    super::{CatalogueDeclaration, DeclarationLocation, EntryIntent, entry_values::entry_values},
    crate::{
        catalogue::{CatalogueEntry, EntryKind, EntryRef, EntrySet, PoolKind, UpstreamEntry},
        finding::{InputFinding, InputFindings, nearest_word},
    },
    std::collections::BTreeMap,
};

/// Largest number of entries that one finding lists by name.
const LISTED_ENTRIES_MAX: usize = 3;

/// A key whose value refers to an entry of `kind` by name.
struct ReferenceKey {
    key: &'static str,
    kind: EntryKind,
}

/// Validates a declaration against the catalogue that results from applying it.
pub(super) struct ReferenceCheck<'a> {
    declaration: &'a CatalogueDeclaration,
    findings: InputFindings,
    merged: EntrySet,
}

impl<'a> ReferenceCheck<'a> {
    pub(super) fn new(declaration: &'a CatalogueDeclaration, base: &EntrySet) -> Self {
        let merged = declaration.merge(base);
        Self {
            declaration,
            findings: InputFindings::default(),
            merged,
        }
    }

    pub(super) fn run(mut self) -> InputFindings {
        for (entry, declared) in self.declaration.entries() {
            match &declared.intent {
                EntryIntent::Put(content) => {
                    self.check_names(&references(content), &declared.location);
                    if let CatalogueEntry::Upstream(entry) = content {
                        self.check_orders(entry, &declared.location);
                    }
                }
                EntryIntent::Remove => self.check_removal(entry, &declared.location),
            }
        }
        for (entry, section) in self.declaration.invalid() {
            let targets = section.references(entry.kind);
            self.check_names(&targets, &section.location);
        }
        self.check_unique("address", "the address", |entry| match entry {
            CatalogueEntry::Upstream(entry) => Some(entry.address.to_string()),
            _ => None,
        });
        self.check_unique("key-sha256", "the digest", |entry| match entry {
            CatalogueEntry::Workspace(entry) => Some(String::from(entry.key_sha256)),
            _ => None,
        });
        self.findings
    }

    fn add_finding(&mut self, location: &DeclarationLocation, key: &str, message: String) {
        self.findings.push(InputFinding {
            file: location.file.clone(),
            section: location.section.clone(),
            key: key.to_owned(),
            message,
        });
    }

    fn check_names(&mut self, targets: &[EntryTarget], location: &DeclarationLocation) {
        for EntryTarget { key, target } in targets {
            let EntryRef { kind, name } = target;
            if self.merged.get(target).is_some() || self.declaration.is_invalid(target) {
                continue;
            }
            let message = if let Some(removal) = self.declaration.entries().get(target) {
                format!(
                    "the {kind} `{name}` is removed in `{}`",
                    removal.location.file
                )
            } else {
                let hint = nearest_word(name, self.merged.names(*kind))
                    .map(|known| format!("; did you mean `{known}`?"))
                    .unwrap_or_default();
                format!("the {kind} `{name}` is unknown{hint}")
            };
            self.add_finding(location, key, message);
        }
    }

    /// Adds a finding for each key of a service's upstream that only engines support.
    fn check_orders(&mut self, entry: &UpstreamEntry, location: &DeclarationLocation) {
        let pool = EntryRef {
            kind: EntryKind::Pool,
            name: entry.pool.to_string(),
        };
        let Some(CatalogueEntry::Pool(pool)) = self.merged.get(&pool) else {
            return;
        };
        if pool.kind == PoolKind::Model {
            return;
        }
        let message = format!(
            "the pool `{}` is a plain service; only engines take orders",
            entry.pool
        );
        let ordered = [
            ("adapters", !entry.adapters.is_empty()),
            ("model-version", entry.model_version.is_some()),
            ("role", entry.role.is_some()),
        ];
        for (key, _) in ordered.iter().filter(|(_, ordered)| *ordered) {
            self.add_finding(location, key, message.clone());
        }
    }

    fn check_removal(&mut self, removed: &EntryRef, location: &DeclarationLocation) {
        let users: Vec<String> = self
            .merged
            .iter()
            .filter(|(user, _)| !self.declaration.entries().contains_key(user))
            .filter(|(user, _)| !self.declaration.is_invalid(user))
            .filter(|(_, content)| {
                references(content)
                    .iter()
                    .any(|reference| reference.target == *removed)
            })
            .map(|(user, _)| format!("`{user}`"))
            .collect();
        if users.is_empty() {
            return;
        }
        let listed = users[..users.len().min(LISTED_ENTRIES_MAX)].join(", ");
        let more = match users.len().saturating_sub(LISTED_ENTRIES_MAX) {
            0 => String::new(),
            more => format!(" and {more} more"),
        };
        self.add_finding(
            location,
            "remove",
            format!("the entry is still named by {listed}{more}"),
        );
    }

    /// Adds a finding for each declared entry that has the same value as another entry.
    ///
    /// Entries that already share a value in the catalogue and aren't declared here add no finding.
    fn check_unique(
        &mut self,
        key: &str,
        value_label: &str,
        value_of: impl Fn(&CatalogueEntry) -> Option<String>,
    ) {
        let mut users: BTreeMap<String, Vec<EntryRef>> = BTreeMap::new();
        for (entry, content) in &self.merged {
            if let Some(value) = value_of(content) {
                users.entry(value).or_default().push(entry.clone());
            }
        }
        for mut sharers in users.into_values().filter(|users| users.len() > 1) {
            sharers.sort_by_key(|sharer| self.declaration.entries().contains_key(sharer));
            let first = sharers[0].clone();
            for sharer in &sharers[1..] {
                let Some(declared) = self.declaration.entries().get(sharer) else {
                    continue;
                };
                let message = format!("{value_label} is also that of `{first}`");
                self.add_finding(&declared.location, key, message);
            }
        }
    }
}

/// Reference to another entry, and the key that contains it.
pub(super) struct EntryTarget {
    key: &'static str,
    target: EntryRef,
}

/// Returns the references in the keys and values of an entry of `kind`.
pub(super) fn targets<'a>(
    kind: EntryKind,
    values: impl Iterator<Item = (&'a str, &'a str)>,
) -> Vec<EntryTarget> {
    let keys = reference_keys(kind);
    values
        .filter_map(|(key, name)| {
            let reference = keys.iter().find(|reference| reference.key == key)?;
            let target = EntryRef {
                kind: reference.kind,
                name: name.to_owned(),
            };
            let key = reference.key;
            Some(EntryTarget { key, target })
        })
        .collect()
}

const fn reference_keys(kind: EntryKind) -> &'static [ReferenceKey] {
    const DATA_CENTRE: ReferenceKey = ReferenceKey {
        key: "data-centre",
        kind: EntryKind::DataCentre,
    };
    const OWNER: ReferenceKey = ReferenceKey {
        key: "owner",
        kind: EntryKind::Workspace,
    };
    const POOL: ReferenceKey = ReferenceKey {
        key: "pool",
        kind: EntryKind::Pool,
    };
    match kind {
        EntryKind::Class => &[OWNER, POOL],
        EntryKind::DataCentre | EntryKind::Pool | EntryKind::Workspace => &[],
        EntryKind::Upstream => &[DATA_CENTRE, POOL],
    }
}

fn references(content: &CatalogueEntry) -> Vec<EntryTarget> {
    let values = entry_values(content);
    let values = values.iter().map(|value| (value.key, value.text.as_str()));
    targets(content.entry_ref().kind, values)
}
