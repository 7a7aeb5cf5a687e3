//! Counters of the calls that the stand-in received.

use {
    poplargap_store::CallKind,
    serde::{Deserialize, Serialize},
};

/// Calls received, by kind, and the number of watches that are waiting.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CallCounts {
    /// Reads of one value.
    pub get: u64,
    /// Lease grants.
    pub grant_lease: u64,
    /// Reads of a range of values.
    pub list: u64,
    /// Reads of any kind: values, ranges, VM lists and watches.
    pub reads: u64,
    /// Lease renewals.
    pub renew_lease: u64,
    /// Lease revocations.
    pub revoke_lease: u64,
    /// Compare-and-swaps, whatever their outcome.
    pub swap: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Watches that are waiting for a change now.
    pub waiting_watches: u64,
    /// Watches started.
    pub watch: u64,
    /// Writes of any kind: compare-and-swaps and calls about leases.
    pub writes: u64,
}

impl CallCounts {
    pub(super) fn add(&mut self, kind: CallKind) {
        *self.count_of(kind) += 1;
        if is_write(kind) {
            self.writes += 1;
        } else {
            self.reads += 1;
        }
    }

    fn count_of(&mut self, kind: CallKind) -> &mut u64 {
        match kind {
            CallKind::Get => &mut self.get,
            CallKind::GrantLease => &mut self.grant_lease,
            CallKind::List => &mut self.list,
            CallKind::RenewLease => &mut self.renew_lease,
            CallKind::RevokeLease => &mut self.revoke_lease,
            CallKind::Swap => &mut self.swap,
            CallKind::Vms => &mut self.vms,
            CallKind::Watch => &mut self.watch,
        }
    }
}

pub(super) fn is_write(kind: CallKind) -> bool {
    matches!(
        kind,
        CallKind::GrantLease | CallKind::RenewLease | CallKind::RevokeLease | CallKind::Swap
    )
}
