//! Results of admitting a request under its class's limits.

use {
    super::{LoanRequest, UsageSlice},
    std::time::Duration,
};

/// Permission to run one request, returned by [`LimitBorrower::release`](super::LimitBorrower::release).
#[derive(Debug)]
#[must_use = "a permit that isn't released keeps its slot forever"]
pub struct Permit {
    pub(super) slice: UsageSlice,
    pub(super) tokens: u64,
}

/// Decision of [`LimitBorrower::admit`](super::LimitBorrower::admit) about a request.
#[derive(Debug)]
pub enum Admission {
    /// Send the loan request, pass its reply to the borrower and try again.
    Ask(LoanRequest),
    /// Admit the request.
    Granted(Permit),
    /// Refuse permanently: the request alone exceeds the class's limit.
    Oversized,
    /// A loan request is in flight: wait for its reply and try again.
    Pending,
    /// Refuse temporarily, or wait if the request's deadline allows it.
    Refused {
        /// Time after which another attempt may succeed.
        retry_after: Duration,
    },
}
