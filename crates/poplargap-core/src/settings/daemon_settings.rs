//! The complete settings of a daemon, read from its settings file.

use {
    super::{
        DaemonSection, FleetSection, InvariantsSection, LimitsSection, LogSection,
        OperatorsSection, PlacementSection, SETTING_KEYS, StoreSection, TimeoutsSection,
        VmListSection,
    },
    crate::{
        finding::{InputFinding, InputFindings, nearest_word},
        input::{IniSection, IniText, KeyDefault, SectionReader},
    },
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Validated settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Identity and listeners of the daemon.
    pub daemon: DaemonSection,
    /// Secret and seeds of the fleet.
    pub fleet: FleetSection,
    /// Reaction to broken invariants.
    pub invariants: InvariantsSection,
    /// Limits on callers' requests and connections.
    pub limits: LimitsSection,
    /// Format and level of log lines.
    pub log: LogSection,
    /// Authentication of operators.
    pub operators: OperatorsSection,
    /// Placement of requests on upstreams.
    pub placement: PlacementSection,
    /// Access to the platform's key-value store.
    pub store: StoreSection,
    /// Timeouts, and intervals of heartbeats.
    pub timeouts: TimeoutsSection,
    /// Access to the platform's VM list.
    pub vm_list: VmListSection,
}

impl DaemonSettings {
    /// Parses the text of a settings file; `file` is the name used in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings of the file.
    pub fn read(file: &str, text: &str) -> Result<Self, InputFindings> {
        let mut findings = InputFindings::default();
        let ini = IniText::parse(file, text, &mut findings);
        if ini.sections.is_empty() && !findings.is_empty() {
            return Err(findings);
        }
        let mut reader = SettingsReader {
            file,
            findings,
            ini,
        };
        reader.check_headings();
        let settings = reader.read();
        let findings = reader.findings;
        match settings {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }

    /// Returns the address of the VM list, by default that of the store.
    #[must_use]
    pub fn vm_list_address(&self) -> SocketAddr {
        self.vm_list.address.unwrap_or(self.store.address)
    }
}

struct SettingsReader<'a> {
    file: &'a str,
    findings: InputFindings,
    ini: IniText,
}

impl SettingsReader<'_> {
    fn add_finding(&mut self, section: &str, key: &str, message: String) {
        self.findings.push(InputFinding {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            message,
        });
    }

    fn check_headings(&mut self) {
        let mut seen = BTreeSet::new();
        let known: BTreeSet<&str> = SETTING_KEYS.iter().map(|key| key.section).collect();
        for section in self.ini.sections.clone() {
            let heading = section.heading.as_str();
            if !known.contains(heading) {
                let hint = nearest_word(heading, known.iter().copied())
                    .map(|word| format!("; did you mean `[{word}]`?"))
                    .unwrap_or_default();
                self.add_finding(heading, "", format!("the section is unknown{hint}"));
            } else if !seen.insert(heading.to_owned()) {
                self.add_finding(heading, "", "the section stands twice".to_owned());
            }
        }
    }

    fn read(&mut self) -> Option<DaemonSettings> {
        let daemon = self.section("daemon", DaemonSection::read);
        let fleet = self.section("fleet", FleetSection::read);
        let invariants = self.section("invariants", InvariantsSection::read);
        let limits = self.section("limits", LimitsSection::read);
        let log = self.section("log", LogSection::read);
        let operators = self.section("operators", OperatorsSection::read);
        let placement = self.section("placement", PlacementSection::read);
        let store = self.section("store", StoreSection::read);
        let timeouts = self.section("timeouts", TimeoutsSection::read);
        let vm_list = self.section("vm-list", VmListSection::read);
        let (fleet, operators) = (fleet?, operators?);
        if operators.token.matches(fleet.secret.expose()) {
            let message = "the token must differ from the fleet's secret";
            self.add_finding("operators", "token", message.to_owned());
        }
        Some(DaemonSettings {
            daemon: daemon?,
            fleet,
            invariants: invariants?,
            limits: limits?,
            log: log?,
            operators,
            placement: placement?,
            store: store?,
            timeouts: timeouts?,
            vm_list: vm_list?,
        })
    }

    fn section<T>(
        &mut self,
        section: &'static str,
        read: impl FnOnce(&mut SectionReader<'_>) -> Option<T>,
    ) -> Option<T> {
        let mut sections = self.ini.sections.iter();
        let found = sections.find(|ini| ini.heading == section).cloned();
        if found.is_none() && is_required(section) {
            self.add_finding(section, "", "the section is missing".to_owned());
            return None;
        }
        let ini = found.unwrap_or_else(|| IniSection {
            heading: section.to_owned(),
            values: Vec::new(),
        });
        let mut reader =
            SectionReader::open(self.file, &ini, section, SETTING_KEYS, &mut self.findings);
        read(&mut reader)
    }
}

fn is_required(section: &str) -> bool {
    SETTING_KEYS
        .iter()
        .any(|key| key.section == section && key.default == KeyDefault::Required)
}
