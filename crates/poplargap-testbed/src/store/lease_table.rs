//! Leases and their expiry by the stand-in's monotonic clock.

use {
    poplargap_store::{LeaseGrant, LeaseId, StoreEra},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

#[derive(Clone, Debug)]
struct LeaseState {
    expires_at: Instant,
    ttl: Duration,
}

/// Leases that have neither expired nor been revoked.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseTable {
    leases: BTreeMap<u64, LeaseState>,
    next: u64,
}

impl LeaseTable {
    pub(super) fn holds(&self, number: u64) -> bool {
        self.leases.contains_key(&number)
    }

    pub(super) fn grant(&mut self, era: StoreEra, ttl: Duration, now: Instant) -> LeaseGrant {
        self.next += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.next, LeaseState { expires_at, ttl });
        LeaseGrant {
            fence: self.next,
            id: LeaseId::new(era, self.next),
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    /// Removes and returns the leases that have expired.
    pub(super) fn remove_expired(&mut self, now: Instant) -> Vec<u64> {
        self.leases
            .extract_if(.., |_, lease| lease.expires_at <= now)
            .map(|(number, _)| number)
            .collect()
    }

    pub(super) fn renew(&mut self, number: u64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&number) else {
            return false;
        };
        lease.expires_at = now + lease.ttl;
        true
    }

    pub(super) fn revoke(&mut self, number: u64) -> bool {
        self.leases.remove(&number).is_some()
    }
}
