//! All settings of one daemon.

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

/// The settings of one daemon, complete and within bounds.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The daemon itself and its listeners.
    pub daemon: DaemonSection,
    /// What the daemons of the fleet share.
    pub fleet: FleetSection,
    /// What a broken invariant does.
    pub invariants: InvariantsSection,
    /// Limits on what callers send.
    pub limits: LimitsSection,
    /// How log lines are written.
    pub log: LogSection,
    /// How operators prove who they are.
    pub operators: OperatorsSection,
    /// How requests find their upstreams.
    pub placement: PlacementSection,
    /// The platform's key-value store.
    pub store: StoreSection,
    /// Longest waits, and the times of heartbeats.
    pub timeouts: TimeoutsSection,
    /// The platform's VM list.
    pub vm_list: VmListSection,
}

impl DaemonSettings {
    /// Reads the text of the settings file named `file`.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
    pub fn read(file: &str, text: &str) -> Result<Self, InputFindings> {
        let mut findings = InputFindings::default();
        let ini = IniText::parse(file, text, &mut findings);
        if ini.sections.is_empty() && !findings.is_empty() {
            return Err(findings);
        }
        let mut source = SettingsSource {
            file,
            findings,
            ini,
        };
        source.check_headings();
        let settings = source.read();
        let findings = source.findings;
        match settings {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }

    /// Returns where the VM list is read: at the store's address unless set otherwise.
    #[must_use]
    pub fn vm_list_address(&self) -> SocketAddr {
        self.vm_list.address.unwrap_or(self.store.address)
    }
}

struct SettingsSource<'a> {
    file: &'a str,
    findings: InputFindings,
    ini: IniText,
}

impl SettingsSource<'_> {
    fn add(&mut self, section: &str, key: &str, message: String) {
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
                self.add(heading, "", format!("the section is unknown{hint}"));
            } else if !seen.insert(heading.to_owned()) {
                self.add(heading, "", "the section stands twice".to_owned());
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
            self.add("operators", "token", message.to_owned());
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
        if found.is_none() && requires(section) {
            self.add(section, "", "the section is missing".to_owned());
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

fn requires(section: &str) -> bool {
    SETTING_KEYS
        .iter()
        .any(|key| key.section == section && key.default == KeyDefault::Required)
}
