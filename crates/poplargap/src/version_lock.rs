//! Lock files, which name the versions that edits are based on.

use {
    crate::{EntryVersion, StoredCatalogue},
    poplargap_core::{
        catalogue::EntryRef,
        finding::{InputFinding, InputFindings},
        input::{IniSection, IniText, KeyDefault, KeyDescription, SectionReader, ValueKind},
    },
    std::collections::BTreeMap,
};

const ENTRY: &str = "entry";

const KEYS: [KeyDescription; 2] = [
    KeyDescription {
        default: KeyDefault::Required,
        key: "version",
        kind: ValueKind::Number {
            max: u64::MAX,
            min: 1,
            unit: "version",
        },
        meaning: "the entry's version",
        section: ENTRY,
    },
    KeyDescription {
        default: KeyDefault::Required,
        key: "write-id",
        kind: ValueKind::Name,
        meaning: "id of the write that made the version",
        section: ENTRY,
    },
];

/// Versions by entry; an entry that isn't listed has never existed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionLock(BTreeMap<EntryRef, EntryVersion>);

impl VersionLock {
    /// Reads a lock file.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
    pub fn read(file: &str, text: &str) -> Result<Self, InputFindings> {
        let mut findings = InputFindings::default();
        let mut lock = Self::default();
        for section in IniText::parse(file, text, &mut findings).sections {
            lock.read_section(file, &section, &mut findings);
        }
        findings.into_result(lock)
    }

    /// Returns one entry's section as text.
    #[must_use]
    pub fn render(entry: &EntryRef, version: &EntryVersion) -> String {
        let EntryVersion { version, write_id } = version;
        format!("[{entry}]\nversion = {version}\nwrite-id = {write_id}\n")
    }

    /// Returns the version that an edit of the entry is based on.
    #[must_use]
    pub fn version(&self, entry: &EntryRef) -> EntryVersion {
        self.0.get(entry).cloned().unwrap_or_default()
    }

    fn read_section(&mut self, file: &str, section: &IniSection, findings: &mut InputFindings) {
        let entry = match section.heading.parse::<EntryRef>() {
            Ok(entry) if !self.0.contains_key(&entry) => entry,
            Ok(_) => return findings.push(finding(file, section, "the section stands twice")),
            Err(error) => return findings.push(finding(file, section, &error.to_string())),
        };
        let mut reader = SectionReader::open(file, section, ENTRY, &KEYS, findings);
        let version = reader.number("version");
        let write_id = reader.checked::<&str>("write-id");
        if let (Some(version), Some(write_id)) = (version, write_id) {
            let write_id = write_id.to_owned();
            self.0.insert(entry, EntryVersion { version, write_id });
        }
    }
}

impl From<&StoredCatalogue> for VersionLock {
    fn from(catalogue: &StoredCatalogue) -> Self {
        let versions = catalogue
            .records()
            .map(|(entry, record)| (entry.clone(), EntryVersion::from(record)));
        Self(versions.collect())
    }
}

fn finding(file: &str, section: &IniSection, message: &str) -> InputFinding {
    InputFinding {
        file: file.to_owned(),
        section: section.heading.clone(),
        key: String::new(),
        message: message.to_owned(),
    }
}
