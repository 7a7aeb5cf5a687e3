//! Past states of the VM list, for the fault that shows it late.

use {
    poplargap_store::VmEntry,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

const LISTS_MAX: usize = 1024;

#[derive(Debug)]
struct DatedList {
    put_at: Instant,
    vms: Vec<VmEntry>,
}

/// The most recent states of the VM list, oldest first.
#[derive(Debug, Default)]
pub(super) struct VmHistory {
    lists: VecDeque<DatedList>,
}

impl VmHistory {
    pub(super) fn put(&mut self, vms: Vec<VmEntry>, now: Instant) {
        if self.lists.len() == LISTS_MAX {
            self.lists.pop_front();
        }
        self.lists.push_back(DatedList { put_at: now, vms });
    }

    /// Returns the list as it was `lag` before `now`.
    pub(super) fn shown(&self, lag: Duration, now: Instant) -> Vec<VmEntry> {
        self.lists
            .iter()
            .rev()
            .find(|list| list.put_at + lag <= now)
            .map(|list| list.vms.clone())
            .unwrap_or_default()
    }
}
