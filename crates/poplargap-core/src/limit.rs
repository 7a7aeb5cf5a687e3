//! Catalogue limits of a class over all data centres.
//!
//! The limit of a class is split into a share for each data centre ([`base_share`]). One daemon of
//! each data centre, the class's lender, lends this share to the daemons that admit requests
//! ([`LimitLender`], [`LimitBorrower`]) and lends unused parts of it to the lenders of other data
//! centres. A loan is an amount of concurrency, and of requests and tokens for each window. It
//! expires unless it is renewed. The borrower counts the time to live from before it sent the
//! request, so a loan expires at the borrower before it expires at the lender.

mod admission;
mod allowance;
mod borrowed_share;
mod complete_from;
mod lender_handover;
mod limit_borrower;
mod limit_lender;
mod loan_account;
mod loan_message;
mod loan_record;
mod loan_renewal;
mod recent_peak;
mod split;
mod usage_window;

pub use {
    admission::{Admission, Permit},
    allowance::Allowance,
    lender_handover::LenderHandover,
    limit_borrower::LimitBorrower,
    limit_lender::{LenderTenure, LimitLender, TAKEOVER_WAIT},
    loan_account::{LOAN_RENEWAL, LOAN_TTL, REPLY_TIMEOUT},
    loan_message::{LoanAmount, LoanHolder, LoanOutcome, LoanReply, LoanRequest},
    loan_record::LOAN_MARGIN,
    loan_renewal::{LoanDigest, LoanStamp, RenewalOutcome, RenewalReply, RenewalRequest},
    split::base_share,
    usage_window::{UsageSlice, UsageWindow},
};

use std::time::Duration;

/// Length of the sliding window in which requests are limited.
pub const REQUEST_WINDOW: Duration = Duration::from_secs(1);

/// Length of the sliding window in which tokens are limited.
pub const TOKEN_WINDOW: Duration = Duration::from_mins(1);
