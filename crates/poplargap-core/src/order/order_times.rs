//! Times that bound leases and orders.

use std::time::Duration;

/// Times that bound a lease and an order; all daemons must use the same.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderTimes {
    /// Longest time from sending an order to the end of carrying it out.
    pub execution: Duration,
    /// Time to live of the lease from sending the request for a grant or renewal.
    pub lease: Duration,
}

impl OrderTimes {
    /// Divisor of the lease for the part left unused, since clocks may run at different rates.
    const MARGIN_DIVISOR: u32 = 5;

    /// Divisor of the lease for the time after which it is renewed.
    const RENEWAL_DIVISOR: u32 = 2;

    /// Returns the time before the lease's expiry in which its holder sends nothing.
    #[must_use]
    pub fn margin(&self) -> Duration {
        self.lease / Self::MARGIN_DIVISOR
    }

    /// Returns the time from a grant or renewal to the next renewal.
    #[must_use]
    pub fn renewal(&self) -> Duration {
        self.lease / Self::RENEWAL_DIVISOR
    }

    /// Returns how long a new holder waits after acquiring the lease until no order of a former
    /// holder can still be carried out.
    #[must_use]
    pub fn former_orders_wait(&self) -> Duration {
        self.lease + self.execution
    }
}
