//! Queries for a part of the VM list.

use {
    crate::{VmEntry, VmRole, VmState},
    poplargap_core::name::DataCentre,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Query for all VMs of one data centre and a few entry VMs of each other data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct VmQuery {
    /// The data centre whose VMs are all listed.
    pub data_centre: DataCentre,
    /// Maximum number of live entry VMs of each other data centre; the lowest names are listed.
    pub far_entries_max: usize,
}

/// Entity tag of an answer: identifies its version for conditional requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmTag(pub String);

/// An answer to a query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmAnswer {
    /// The queried part of the list.
    Listed {
        /// The VMs.
        entries: Vec<VmEntry>,
        /// The answer's version, if the platform sent one.
        tag: Option<VmTag>,
    },
    /// The part hasn't changed since the version in the request.
    Unchanged,
}

impl VmQuery {
    /// Returns the part of `entries` that matches the query.
    #[must_use]
    pub fn select(&self, entries: &[VmEntry]) -> Vec<VmEntry> {
        let mut far_entries: BTreeMap<&DataCentre, Vec<&VmEntry>> = BTreeMap::new();
        let mut selected = Vec::new();
        for entry in entries {
            if entry.data_centre == self.data_centre {
                selected.push(entry.clone());
            } else if entry.role == VmRole::Entry && entry.state == VmState::Live {
                far_entries
                    .entry(&entry.data_centre)
                    .or_default()
                    .push(entry);
            }
        }
        for mut entries in far_entries.into_values() {
            entries.sort_by(|a, b| a.name.cmp(&b.name));
            let limited = entries.into_iter().take(self.far_entries_max);
            selected.extend(limited.cloned());
        }
        selected
    }
}
