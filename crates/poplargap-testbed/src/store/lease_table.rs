//! Leases and their expiry by the stand-in's monotonic clock.

use {
    poplargap_store::{LeaseGrant, LeaseId},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

#[derive(Debug)]
struct LeaseState {
    expires_at: Instant,
    ttl: Duration,
}

/// Leases that have neither expired nor been revoked.
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
        let expires_at = now + ttl;
        self.leases
            .insert(self.next, LeaseState { expires_at, ttl });
        LeaseGrant {
            fence: self.next,
            id: LeaseId(self.next),
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Removes and returns the leases that have expired.
    pub(super) fn remove_expired(&mut self, now: Instant) -> Vec<LeaseId> {
        self.leases
            .extract_if(.., |_, lease| lease.expires_at <= now)
            .map(|(id, _)| LeaseId(id))
            .collect()
    }

    pub(super) fn renew(&mut self, id: LeaseId, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&id.0) else {
            return false;
        };
        lease.expires_at = now + lease.ttl;
        true
    }

    pub(super) fn revoke(&mut self, id: LeaseId) -> bool {
        self.leases.remove(&id.0).is_some()
    }
}
