//! Checks of names and addresses between entries.

use {
    super::{CatalogueDeclaration, DeclarationPlace, EntryIntent},
    crate::{
        catalogue::{CatalogueEntry, EntryKind, EntryRef, EntrySet},
        finding::{InputFinding, InputFindings, nearest_word},
    },
    std::collections::BTreeMap,
};

/// Most entries that one finding lists by name.
const LISTED_MAX: usize = 3;

/// A name inside an entry that stands for another entry.
struct EntryReference<'a> {
    key: &'static str,
    kind: EntryKind,
    name: &'a str,
}

/// Checks a declaration against the catalogue that follows from applying it.
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
                EntryIntent::Put(content) => self.check_names(content, &declared.place),
                EntryIntent::Remove => self.check_removal(entry, &declared.place),
            }
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

    fn add(&mut self, place: &DeclarationPlace, key: &str, message: String) {
        self.findings.push(InputFinding {
            file: place.file.clone(),
            section: place.section.clone(),
            key: key.to_owned(),
            message,
        });
    }

    fn check_names(&mut self, content: &CatalogueEntry, place: &DeclarationPlace) {
        for EntryReference { key, kind, name } in references(content) {
            let target = EntryRef {
                kind,
                name: name.to_owned(),
            };
            if self.merged.get(&target).is_some() || self.declaration.is_faulty(&target) {
                continue;
            }
            let message = if let Some(removal) = self.declaration.entries().get(&target) {
                format!("the {kind} `{name}` is removed in `{}`", removal.place.file)
            } else {
                let hint = nearest_word(name, self.merged.names(kind))
                    .map(|known| format!("; did you mean `{known}`?"))
                    .unwrap_or_default();
                format!("the {kind} `{name}` is unknown{hint}")
            };
            self.add(place, key, message);
        }
    }

    fn check_removal(&mut self, removed: &EntryRef, place: &DeclarationPlace) {
        let users: Vec<String> = self
            .merged
            .iter()
            .filter(|(user, _)| !self.declaration.entries().contains_key(user))
            .filter(|(user, _)| !self.declaration.is_faulty(user))
            .filter(|(_, content)| {
                references(content).iter().any(|reference| {
                    reference.kind == removed.kind && reference.name == removed.name
                })
            })
            .map(|(user, _)| format!("`{user}`"))
            .collect();
        if users.is_empty() {
            return;
        }
        let listed = users[..users.len().min(LISTED_MAX)].join(", ");
        let more = match users.len().saturating_sub(LISTED_MAX) {
            0 => String::new(),
            more => format!(" and {more} more"),
        };
        self.add(
            place,
            "remove",
            format!("the entry is still named by {listed}{more}"),
        );
    }

    /// Adds a finding for each declared entry that shares a value with another entry.
    ///
    /// Two entries that share a value without being declared here are left alone.
    fn check_unique(
        &mut self,
        key: &str,
        what: &str,
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
                let message = format!("{what} is also that of `{first}`");
                self.add(&declared.place, key, message);
            }
        }
    }
}

fn references(content: &CatalogueEntry) -> Vec<EntryReference<'_>> {
    let reference = |key, kind, name| EntryReference { key, kind, name };
    match content {
        CatalogueEntry::Class(entry) => vec![
            reference("owner", EntryKind::Workspace, entry.owner.as_str()),
            reference("pool", EntryKind::Pool, entry.pool.as_str()),
        ],
        CatalogueEntry::DataCentre(_) | CatalogueEntry::Pool(_) | CatalogueEntry::Workspace(_) => {
            Vec::new()
        }
        CatalogueEntry::Upstream(entry) => vec![
            reference(
                "data-centre",
                EntryKind::DataCentre,
                entry.data_centre.as_str(),
            ),
            reference("pool", EntryKind::Pool, entry.pool.as_str()),
        ],
    }
}
