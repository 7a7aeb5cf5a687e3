//! The lease of the daemon that sends the orders of one data centre.

use {
    super::OrderTimes,
    crate::{catalogue::FencingCheck, instant::MonotonicInstant},
    std::time::Duration,
};

/// State of a daemon's lease, by its own clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeasePhase {
    /// The daemon has no lease, or the lease has expired.
    NotHeld,
    /// The lease is held, but orders of former holders may still be carried out.
    FormerOrdersPending,
    /// The lease is held, and no order of a former holder can still be carried out.
    FormerOrdersOver,
}

/// Permission to send orders with one fencing number for a limited time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendPermit {
    /// Fencing number of the orders.
    pub fence: u64,
    /// Time from which nothing may be sent.
    pub until: MonotonicInstant,
}

impl SendPermit {
    /// Returns whether an order may be sent at `now`.
    #[must_use]
    pub fn allows(&self, now: MonotonicInstant) -> bool {
        now < self.until
    }

    /// Returns the time left for sending.
    #[must_use]
    pub fn time_left(&self, now: MonotonicInstant) -> Duration {
        self.until.since(now)
    }
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    acquired: MonotonicInstant,
    permit: SendPermit,
    renewal: MonotonicInstant,
}

/// A daemon's view of its own lease.
///
/// The lease counts from before its grant or renewal was sent, so that it expires here no later
/// than at the store.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    lease: Option<HeldLease>,
    times: OrderTimes,
}

impl LeaseHolder {
    /// Creates a holder without a lease.
    #[must_use]
    pub fn new(times: OrderTimes) -> Self {
        Self { lease: None, times }
    }

    /// Records a lease that was requested at `sent` and acquired by `now`.
    pub fn acquire(&mut self, fence: u64, sent: MonotonicInstant, now: MonotonicInstant) {
        let until = self.until(sent);
        self.lease = Some(HeldLease {
            acquired: now,
            permit: SendPermit { fence, until },
            renewal: sent + self.times.renewal(),
        });
    }

    /// Records that the store renewed the lease by a call sent at `sent`.
    ///
    /// A renewal that arrives after the lease expired here has no effect: the lease stays lost.
    pub fn renew(&mut self, sent: MonotonicInstant, now: MonotonicInstant) {
        let until = self.until(sent);
        let renewal = sent + self.times.renewal();
        if let Some(lease) = &mut self.lease
            && lease.permit.allows(now)
        {
            lease.permit.until = lease.permit.until.max(until);
            lease.renewal = renewal;
        }
    }

    /// Schedules the retry of a failed renewal after `delay`.
    pub fn retry_renewal(&mut self, now: MonotonicInstant, delay: Duration) {
        if let Some(lease) = &mut self.lease {
            lease.renewal = now + delay;
        }
    }

    /// Releases the lease.
    pub fn release(&mut self) {
        self.lease = None;
    }

    /// Returns whether the lease needs renewal at `now`.
    #[must_use]
    pub fn renewal_due(&self, now: MonotonicInstant) -> bool {
        self.lease.is_some_and(|lease| lease.renewal <= now)
    }

    /// Returns the state of the lease at `now`.
    #[must_use]
    pub fn phase(&self, now: MonotonicInstant) -> LeasePhase {
        match self.lease {
            Some(lease) if !lease.permit.allows(now) => LeasePhase::NotHeld,
            Some(lease) if now.since(lease.acquired) < self.times.former_orders_wait() => {
                LeasePhase::FormerOrdersPending
            }
            Some(_) => LeasePhase::FormerOrdersOver,
            None => LeasePhase::NotHeld,
        }
    }

    /// Returns permission to send an order to an engine, or `None` while none may be sent.
    ///
    /// An engine that ignores fencing numbers gets no order until those of former holders can no
    /// longer be carried out.
    #[must_use]
    pub fn permit(&self, fencing: FencingCheck, now: MonotonicInstant) -> Option<SendPermit> {
        let permit = self.lease?.permit;
        match (self.phase(now), fencing) {
            (LeasePhase::NotHeld, _) | (LeasePhase::FormerOrdersPending, FencingCheck::Ignored) => {
                None
            }
            (LeasePhase::FormerOrdersOver, _)
            | (LeasePhase::FormerOrdersPending, FencingCheck::Checked) => Some(permit),
        }
    }

    /// Returns fencing number and expiry of the lease while it is held, whatever the engine.
    #[must_use]
    pub fn lease_permit(&self, now: MonotonicInstant) -> Option<SendPermit> {
        let lease = self.lease.filter(|lease| lease.permit.allows(now))?;
        Some(lease.permit)
    }

    fn until(&self, sent: MonotonicInstant) -> MonotonicInstant {
        sent + self.times.lease.saturating_sub(self.times.margin())
    }
}
