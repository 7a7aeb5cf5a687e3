//! Times that holders of a data centre's orders keep.

use std::time::Duration;

/// Times that bound a lease and an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderTimes {
    /// Longest time from sending an order to the end of carrying it out.
    pub execution: Duration,
    /// Time to live of the lease, from sending the grant or renewal.
    pub lease: Duration,
}

impl OrderTimes {
    /// Share of the lease that stays unused, for clocks that run at different rates.
    const MARGIN_DIVISOR: u32 = 5;

    /// Share of the lease after which it is renewed.
    const RENEWAL_DIVISOR: u32 = 2;

    /// Returns the time before the lease's end from which its holder sends nothing.
    #[must_use]
    pub fn margin(&self) -> Duration {
        self.lease / Self::MARGIN_DIVISOR
    }

    /// Returns the time from a grant or renewal to the next renewal.
    #[must_use]
    pub fn renewal(&self) -> Duration {
        self.lease / Self::RENEWAL_DIVISOR
    }

    /// Returns how long a new holder waits for all orders of former holders to be over.
    #[must_use]
    pub fn former_orders_wait(&self) -> Duration {
        self.lease + self.execution
    }
}
