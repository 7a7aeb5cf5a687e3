//! The lease of whoever gives the orders of one data centre.

use {
    super::OrderTimes,
    crate::{catalogue::FencingCheck, instant::MonotonicInstant},
    std::time::Duration,
};

/// Whether orders may be given, by the holder's own clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeasePhase {
    /// No lease, or its time has passed.
    NotHeld,
    /// The lease is held; orders of former holders may still be carried out.
    FormerOrdersPending,
    /// The lease is held, and all orders of former holders are over.
    FormerOrdersOver,
}

/// Leave to send orders under one fencing number until an instant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendPermit {
    /// The fencing number.
    pub fence: u64,
    /// From here on nothing is sent.
    pub until: MonotonicInstant,
}

impl SendPermit {
    /// Returns whether an order may go out at `now`.
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

/// What one daemon knows of its own lease.
///
/// The lease counts from before its grant or renewal was sent, so that it ends here no later than
/// at the store.
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

    /// Notes a lease whose grant was sent at `sent`, and that was acquired by `now`.
    pub fn acquire(&mut self, fence: u64, sent: MonotonicInstant, now: MonotonicInstant) {
        let until = self.until(sent);
        self.lease = Some(HeldLease {
            acquired: now,
            permit: SendPermit { fence, until },
            renewal: sent + self.times.renewal(),
        });
    }

    /// Notes that the store renewed the lease by a call sent at `sent`.
    ///
    /// A renewal that comes after the lease's end here has no effect: the lease stays lost.
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

    /// Lets a renewal that failed be tried again after `pause`.
    pub fn retry_renewal(&mut self, now: MonotonicInstant, pause: Duration) {
        if let Some(lease) = &mut self.lease {
            lease.renewal = now + pause;
        }
    }

    /// Gives the lease up.
    pub fn release(&mut self) {
        self.lease = None;
    }

    /// Returns whether the lease is to be renewed now.
    #[must_use]
    pub fn renewal_due(&self, now: MonotonicInstant) -> bool {
        self.lease.is_some_and(|lease| lease.renewal <= now)
    }

    /// Returns what the holder may do at `now`.
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

    /// Returns leave to send an order to an engine, or `None` while none may go out.
    ///
    /// An engine that ignores fencing numbers gets none until former holders' orders are over.
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

    /// Returns how far the lease reaches while it is held, whatever the engine.
    #[must_use]
    pub fn lease_permit(&self, now: MonotonicInstant) -> Option<SendPermit> {
        let lease = self.lease.filter(|lease| lease.permit.allows(now))?;
        Some(lease.permit)
    }

    fn until(&self, sent: MonotonicInstant) -> MonotonicInstant {
        sent + self.times.lease.saturating_sub(self.times.margin())
    }
}
