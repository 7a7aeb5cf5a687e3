//! Catalogue limits of a class over all data centres.
//!
//! The limit of a class is split into a share for each data centre ([`base_share`]). One daemon of
//! each data centre, the class's lender, lends its share to the daemons that admit requests
//! ([`LimitLender`], [`LimitBorrower`]), and what they leave idle to lenders of other data centres.
//! A loan is an amount of concurrency and of requests and tokens for each window; it ends by
//! itself at a time that the borrower counts from before it asked, so before the lender does.

mod admission;
mod allowance;
mod borrowed_share;
mod known_from;
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

/// Window of the limit on requests.
pub const REQUEST_WINDOW: Duration = Duration::from_secs(1);

/// Window of the limit on tokens.
pub const TOKEN_WINDOW: Duration = Duration::from_mins(1);
