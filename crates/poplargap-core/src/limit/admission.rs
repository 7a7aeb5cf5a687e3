//! Answers to a request that wants to be admitted under its class's limits.

use {
    super::{LoanRequest, UsageSlice},
    std::time::Duration,
};

/// The right to run one request; it is given back by [`LimitBorrower::release`](super::LimitBorrower::release).
#[derive(Debug)]
#[must_use = "a permit that isn't settled holds its slot for good"]
pub struct Permit {
    pub(super) slice: UsageSlice,
    pub(super) tokens: u64,
}

/// What a daemon does with a request.
#[derive(Debug)]
pub enum Admission {
    /// Send the loan request, give its reply to the borrower and try again.
    Ask(LoanRequest),
    /// Admit the request.
    Granted(Permit),
    /// Refuse for good: the request alone is larger than the whole limit.
    Oversized,
    /// Wait for the reply to the loan request sent before and try again.
    Pending,
    /// Refuse for now, or wait if the deadline allows it.
    Refused {
        /// Time after which another try may succeed.
        retry_after: Duration,
    },
}
