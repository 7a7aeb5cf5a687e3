//! Leases and their ends by the stand-in's monotonic clock.

use {
    poplargap_store::{LeaseGrant, LeaseId},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

#[derive(Debug)]
struct LeaseState {
    ends_at: Instant,
    ttl: Duration,
}

/// Leases that have not ended.
#[derive(Debug, Default)]
pub(super) struct LeaseTable {
    leases: BTreeMap<u64, LeaseState>,
    next: u64,
}

impl LeaseTable {
    pub(super) fn holds(&self, id: LeaseId) -> bool {
        self.leases.contains_key(&id.0)
    }

    pub(super) fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseGrant {
        self.next += 1;
        let ends_at = now + ttl;
        self.leases.insert(self.next, LeaseState { ends_at, ttl });
        LeaseGrant {
            fence: self.next,
            id: LeaseId(self.next),
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    pub(super) fn next_end(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.ends_at).min()
    }

    /// Removes and returns the leases that have ended.
    pub(super) fn remove_ended(&mut self, now: Instant) -> Vec<LeaseId> {
        self.leases
            .extract_if(.., |_, lease| lease.ends_at <= now)
            .map(|(id, _)| LeaseId(id))
            .collect()
    }

    pub(super) fn renew(&mut self, id: LeaseId, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&id.0) else {
            return false;
        };
        lease.ends_at = now + lease.ttl;
        true
    }

    pub(super) fn revoke(&mut self, id: LeaseId) -> bool {
        self.leases.remove(&id.0).is_some()
    }
}
