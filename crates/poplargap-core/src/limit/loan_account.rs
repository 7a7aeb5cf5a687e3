//! The borrower's side of one loan.

use {
    super::{Allowance, LoanAmount, LoanHolder, LoanOutcome, LoanReply, LoanRequest},
    crate::{instant::MonotonicInstant, name::ClassName},
    std::time::Duration,
};

/// Time to live of a loan from its request or renewal, by the borrower's clock.
pub const LOAN_TTL: Duration = Duration::from_secs(2);

/// Time after a loan's last request at which it is renewed.
pub const LOAN_RENEWAL: Duration = Duration::from_secs(1);

/// Longest wait for the reply to a loan request.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    lost: bool,
    sent: MonotonicInstant,
    sequence: u64,
    want: Allowance,
}

/// The loan that a borrower holds from one lender, and its pending request.
#[derive(Clone, Debug)]
pub(super) struct LoanAccount {
    amount: LoanAmount,
    requested_at: Option<MonotonicInstant>,
    backed_until: MonotonicInstant,
    pending: Option<PendingRequest>,
    fully_granted: bool,
    sequence: u64,
    expires: MonotonicInstant,
}

/// Amounts that a borrower requests from its lender.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoanDemand {
    /// What the holder has lent on or used, whatever the reply says.
    pub committed: Allowance,
    pub need: Allowance,
    pub used: Allowance,
    pub want: Allowance,
}

impl LoanAccount {
    pub fn new() -> Self {
        Self {
            amount: LoanAmount::default(),
            requested_at: None,
            backed_until: MonotonicInstant::default(),
            pending: None,
            fully_granted: false,
            sequence: 0,
            expires: MonotonicInstant::default(),
        }
    }

    /// Returns the amount that may be used at `now`.
    pub fn amount(&self, now: MonotonicInstant) -> LoanAmount {
        if now >= self.expires {
            return LoanAmount::default();
        }
        let mut amount = self.amount;
        if now >= self.backed_until {
            amount.backed = Allowance::ZERO;
        }
        amount
    }

    /// Returns when the loan expires unless it is renewed.
    pub fn expires(&self) -> MonotonicInstant {
        self.expires
    }

    /// Returns whether a reply is expected.
    pub fn is_pending(&self, now: MonotonicInstant) -> bool {
        self.pending
            .is_some_and(|pending| !pending.lost && now.since(pending.sent) < REPLY_TIMEOUT)
    }

    /// Returns whether a reply timed out, so that the lender may count more than is held.
    pub fn is_unanswered(&self, now: MonotonicInstant) -> bool {
        self.pending
            .is_some_and(|pending| now.since(pending.sent) >= REPLY_TIMEOUT)
    }

    /// Returns whether the last request is old enough for a renewal.
    pub fn is_renewal_due(&self, now: MonotonicInstant) -> bool {
        self.requested_at
            .is_none_or(|requested_at| now.since(requested_at) >= LOAN_RENEWAL)
    }

    /// Returns whether a larger loan may be requested: at once after a full grant, else when a
    /// renewal is due.
    pub fn may_ask_more(&self, now: MonotonicInstant) -> bool {
        !self.is_pending(now) && (self.fully_granted || self.is_renewal_due(now))
    }

    /// Returns the number of the last request if the loan has no backed part.
    ///
    /// A lender that has answered that request counts at least what is held now.
    pub fn plain_sequence(&self, now: MonotonicInstant) -> Option<u64> {
        let amount = self.amount(now);
        let plain = amount.backed == Allowance::ZERO && amount.own != Allowance::ZERO;
        plain.then_some(self.sequence)
    }

    /// Applies a renewal, requested at `sent`, of the loan granted for request `sequence`.
    pub fn renew(&mut self, sequence: u64, sent: MonotonicInstant) {
        if self.plain_sequence(sent) == Some(sequence) {
            self.requested_at = Some(sent);
            self.expires = self.expires.max(sent + LOAN_TTL);
        }
    }

    /// Gives up the reply to request `sequence`; the lender's decision stays unknown.
    pub fn lose(&mut self, sequence: u64) {
        if let Some(pending) = self.pending.as_mut()
            && pending.sequence == sequence
        {
            pending.lost = true;
            self.fully_granted = false;
        }
    }

    /// Builds a request; replies to earlier requests are ignored from now on.
    pub fn ask(
        &mut self,
        class: &ClassName,
        holder: &LoanHolder,
        demand: LoanDemand,
        now: MonotonicInstant,
    ) -> LoanRequest {
        self.sequence += 1;
        self.amount = self.amount(now).at_most(demand.want);
        self.requested_at = Some(now);
        self.pending = Some(PendingRequest {
            lost: false,
            sent: now,
            sequence: self.sequence,
            want: demand.want,
        });
        LoanRequest {
            class: class.clone(),
            committed: demand.committed,
            holder: holder.clone(),
            holding: self.amount,
            need: demand.need,
            sequence: self.sequence,
            used: demand.used,
            want: demand.want,
        }
    }

    /// Applies a reply and returns whether it answers the pending request.
    pub fn accept(&mut self, reply: &LoanReply) -> bool {
        let Some(pending) = self.pending.take_if(|p| p.sequence == reply.sequence) else {
            return false;
        };
        if let LoanOutcome::Granted {
            amount,
            backed_for_ms,
            ..
        } = reply.outcome
        {
            self.fully_granted = amount.total().covers(pending.want);
            self.amount = amount;
            self.expires = pending.sent + LOAN_TTL;
            self.backed_until = pending.sent + Duration::from_millis(backed_for_ms.into());
        }
        true
    }
}
