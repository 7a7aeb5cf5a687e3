//! Which part of the VM list a daemon asks for.

use {
    crate::{VmEntry, VmRole, VmState},
    poplargap_core::name::DataCentre,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Asks for one data centre's VMs and a few entry VMs of each other one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct VmQuery {
    /// The data centre that is listed whole.
    pub data_centre: DataCentre,
    /// Most live entry VMs of each other data centre, the lowest names first.
    pub far_entries_max: usize,
}

/// Version of an answer, as the platform names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmTag(pub String);

/// An answer to a query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmAnswer {
    /// The part of the list that was asked for.
    Listed {
        /// The VMs.
        entries: Vec<VmEntry>,
        /// The answer's version, when the platform names one.
        tag: Option<VmTag>,
    },
    /// The part is the one that the asker knows.
    Unchanged,
}

impl VmQuery {
    /// Returns the part of `entries` that the query asks for.
    #[must_use]
    pub fn select(&self, entries: &[VmEntry]) -> Vec<VmEntry> {
        let mut far: BTreeMap<&DataCentre, Vec<&VmEntry>> = BTreeMap::new();
        let mut selected = Vec::new();
        for entry in entries {
            if entry.data_centre == self.data_centre {
                selected.push(entry.clone());
            } else if entry.role == VmRole::Entry && entry.state == VmState::Live {
                far.entry(&entry.data_centre).or_default().push(entry);
            }
        }
        for mut entries in far.into_values() {
            entries.sort_by(|a, b| a.name.cmp(&b.name));
            let few = entries.into_iter().take(self.far_entries_max);
            selected.extend(few.cloned());
        }
        selected
    }
}
