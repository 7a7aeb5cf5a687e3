//! Parsed contents of a set of declaration files.

use {
    super::{
        entry_reading::read_entry,
        keys::CATALOGUE_KEYS,
        reference_check::{EntryTarget, ReferenceCheck, targets},
    },
    crate::{
        catalogue::{CatalogueEntry, EntryKind, EntryRef, EntrySet},
        finding::{InputFinding, InputFindings, nearest_word},
        input::{IniSection, IniText, SectionReader},
        name::PoolName,
    },
    std::collections::BTreeMap,
    strum::VariantNames,
};

/// One declaration file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SourceText<'a> {
    /// The file's path as the operator gave it.
    pub file: &'a str,
    /// The file's text.
    pub text: &'a str,
}

/// File and section in which an entry is declared.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclarationLocation {
    /// The file's path as the operator gave it.
    pub file: String,
    /// Heading of the section, without brackets.
    pub section: String,
}

/// Whether a section sets or removes its entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryIntent {
    /// Creates the entry or replaces its content.
    Put(CatalogueEntry),
    /// Removes the entry.
    Remove,
}

/// Declared change of one entry and its location.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredEntry {
    /// Whether the section sets or removes the entry.
    pub intent: EntryIntent,
    /// File and heading of the section.
    pub location: DeclarationLocation,
}

/// A section whose own keys or values have findings.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct InvalidSection {
    pub(super) location: DeclarationLocation,
    values: Vec<(String, String)>,
}

impl InvalidSection {
    /// Returns the entries that the section refers to by valid names.
    pub(super) fn references(&self, kind: EntryKind) -> Vec<EntryTarget> {
        let values = self.values.iter();
        let valid = values.filter(|(_, value)| PoolName::try_from(value.as_str()).is_ok());
        targets(
            kind,
            valid.map(|(key, value)| (key.as_str(), value.as_str())),
        )
    }
}

/// Declared changes of a set of files; entries that no file names stay unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueDeclaration {
    entries: BTreeMap<EntryRef, DeclaredEntry>,
    invalid: BTreeMap<EntryRef, InvalidSection>,
}

impl CatalogueDeclaration {
    /// Parses all files together and validates them against the catalogue `base`.
    ///
    /// # Errors
    ///
    /// Returns all findings: those of the files and those of references between entries.
    pub fn check(sources: &[SourceText<'_>], base: &EntrySet) -> Result<Self, InputFindings> {
        let mut findings = InputFindings::default();
        let declaration = Self::read(sources, &mut findings);
        findings.append(declaration.check_references(base));
        findings.into_result(declaration)
    }

    /// Validates references and unique values in the catalogue that results from applying this
    /// declaration to `base`.
    ///
    /// Entries of invalid sections count as declared, so that references to them add no findings.
    #[must_use]
    pub fn check_references(&self, base: &EntrySet) -> InputFindings {
        ReferenceCheck::new(self, base).run()
    }

    /// Returns the declared changes, sorted by kind and name.
    #[must_use]
    pub fn entries(&self) -> &BTreeMap<EntryRef, DeclaredEntry> {
        &self.entries
    }

    /// Returns the catalogue that results from applying this declaration to `base`.
    #[must_use]
    pub fn merge(&self, base: &EntrySet) -> EntrySet {
        let mut merged = base.clone();
        for (entry, declared) in &self.entries {
            match &declared.intent {
                EntryIntent::Put(content) => merged.insert(content.clone()),
                EntryIntent::Remove => {
                    merged.remove(entry);
                }
            }
        }
        merged
    }

    /// Parses all files together; sections with findings are left out of the entries.
    #[must_use]
    pub fn read(sources: &[SourceText<'_>], findings: &mut InputFindings) -> Self {
        let mut declaration = Self::default();
        let mut entry_files = BTreeMap::new();
        for source in sources {
            for section in IniText::parse(source.file, source.text, findings).sections {
                declaration.read_section(source.file, &section, &mut entry_files, findings);
            }
        }
        declaration
    }

    /// Returns the invalid sections.
    pub(super) fn invalid(&self) -> &BTreeMap<EntryRef, InvalidSection> {
        &self.invalid
    }

    /// Returns whether the section of the entry is invalid.
    pub(super) fn is_invalid(&self, entry: &EntryRef) -> bool {
        self.invalid.contains_key(entry)
    }

    fn read_section(
        &mut self,
        file: &str,
        section: &IniSection,
        entry_files: &mut BTreeMap<EntryRef, String>,
        findings: &mut InputFindings,
    ) {
        let entry = match parse_heading(&section.heading) {
            Ok(entry) => entry,
            Err(message) => {
                findings.push(section_finding(file, section, message));
                return;
            }
        };
        if let Some(earlier) = entry_files.get(&entry) {
            let message = format!("the section stands already in `{earlier}`");
            findings.push(section_finding(file, section, message));
            return;
        }
        entry_files.insert(entry.clone(), file.to_owned());
        let findings_len = findings.as_slice().len();
        let intent = read_intent(&entry, file, section, findings);
        let is_valid = findings.as_slice().len() == findings_len;
        let location = DeclarationLocation {
            file: file.to_owned(),
            section: section.heading.clone(),
        };
        let Some(intent) = intent.filter(|_| is_valid) else {
            let values = section.values.clone();
            self.invalid
                .insert(entry, InvalidSection { location, values });
            return;
        };
        self.entries
            .insert(entry, DeclaredEntry { intent, location });
    }
}

fn parse_heading(heading: &str) -> Result<EntryRef, String> {
    let (word, name) = heading
        .split_once(char::is_whitespace)
        .unwrap_or((heading, ""));
    let Ok(kind) = word.parse::<EntryKind>() else {
        let hint = nearest_word(word, EntryKind::VARIANTS.iter().copied())
            .map(|known| format!("; did you mean `{known}`?"))
            .unwrap_or_default();
        return Err(format!("`{word}` is no kind of entry{hint}"));
    };
    let name = name.trim();
    if name.is_empty() {
        return Err(format!("the name is missing; write `[{kind} NAME]`"));
    }
    let name = name.to_owned();
    Ok(EntryRef { kind, name })
}

fn read_intent(
    entry: &EntryRef,
    file: &str,
    section: &IniSection,
    findings: &mut InputFindings,
) -> Option<EntryIntent> {
    let mut reader =
        SectionReader::open(file, section, entry.kind.into(), CATALOGUE_KEYS, findings);
    if reader.yes_no("remove") != Some(true) {
        return read_entry(entry.kind, &entry.name, &mut reader).map(EntryIntent::Put);
    }
    for (key, _) in section.values.iter().filter(|(key, _)| key != "remove") {
        reader.add_finding(key, "the key can't stand beside `remove = yes`");
    }
    Some(EntryIntent::Remove)
}

fn section_finding(file: &str, section: &IniSection, message: String) -> InputFinding {
    InputFinding {
        file: file.to_owned(),
        section: section.heading.clone(),
        key: String::new(),
        message,
    }
}
