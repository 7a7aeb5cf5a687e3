//! The borrower's side of one loan.

use {
    super::{Allowance, LoanAmount, LoanHolder, LoanOutcome, LoanReply, LoanRequest},
    crate::{instant::MonotonicInstant, name::ClassName},
    std::time::Duration,
};

/// Time after which a loan ends that isn't renewed, by the borrower's clock.
pub const LOAN_TTL: Duration = Duration::from_secs(2);

/// Age at which a loan is renewed.
pub const LOAN_RENEWAL: Duration = Duration::from_secs(1);

/// Time after which a reply isn't waited for any more.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    lost: bool,
    sent: MonotonicInstant,
    sequence: u64,
    want: Allowance,
}

/// What a borrower holds from one lender.
#[derive(Clone, Debug)]
pub(super) struct LoanAccount {
    amount: LoanAmount,
    asked: Option<MonotonicInstant>,
    backed_until: MonotonicInstant,
    pending: Option<PendingRequest>,
    satisfied: bool,
    sequence: u64,
    until: MonotonicInstant,
}

/// What a borrower wants of its lender.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoanWish {
    /// What the holder has lent on or used, whatever the reply.
    pub committed: Allowance,
    pub need: Allowance,
    pub used: Allowance,
    pub want: Allowance,
}

impl LoanAccount {
    pub fn new() -> Self {
        Self {
            amount: LoanAmount::default(),
            asked: None,
            backed_until: MonotonicInstant::default(),
            pending: None,
            satisfied: false,
            sequence: 0,
            until: MonotonicInstant::default(),
        }
    }

    /// Returns what may be used at `now`.
    pub fn amount(&self, now: MonotonicInstant) -> LoanAmount {
        if now >= self.until {
            return LoanAmount::default();
        }
        let mut amount = self.amount;
        if now >= self.backed_until {
            amount.backed = Allowance::ZERO;
        }
        amount
    }

    /// Returns when the loan ends unless it is renewed.
    pub fn until(&self) -> MonotonicInstant {
        self.until
    }

    /// Returns whether a reply may still come.
    pub fn is_pending(&self, now: MonotonicInstant) -> bool {
        self.pending
            .is_some_and(|pending| !pending.lost && now.since(pending.sent) < REPLY_TIMEOUT)
    }

    /// Returns whether a reply was given up, so that the lender may count more than is held.
    pub fn is_unanswered(&self, now: MonotonicInstant) -> bool {
        self.pending
            .is_some_and(|pending| now.since(pending.sent) >= REPLY_TIMEOUT)
    }

    /// Returns whether the last request is old enough for a renewal.
    pub fn is_renewal_due(&self, now: MonotonicInstant) -> bool {
        self.asked
            .is_none_or(|asked| now.since(asked) >= LOAN_RENEWAL)
    }

    /// Returns whether a larger loan may be asked for: at once after a full grant, else later.
    pub fn may_ask_more(&self, now: MonotonicInstant) -> bool {
        !self.is_pending(now) && (self.satisfied || self.is_renewal_due(now))
    }

    /// Returns the number of the last request, when nothing of the loan is lent on.
    ///
    /// A lender that has answered that request counts at least what is held now.
    pub fn plain_sequence(&self, now: MonotonicInstant) -> Option<u64> {
        let amount = self.amount(now);
        let plain = amount.backed == Allowance::ZERO && amount.own != Allowance::ZERO;
        plain.then_some(self.sequence)
    }

    /// Takes a renewal asked for at `sent` of the loan given for request `sequence`.
    pub fn renew(&mut self, sequence: u64, sent: MonotonicInstant) {
        if self.plain_sequence(sent) == Some(sequence) {
            self.asked = Some(sent);
            self.until = self.until.max(sent + LOAN_TTL);
        }
    }

    /// Gives up the reply to request `sequence`; what the lender decided is unknown.
    pub fn lose(&mut self, sequence: u64) {
        if let Some(pending) = self.pending.as_mut()
            && pending.sequence == sequence
        {
            pending.lost = true;
            self.satisfied = false;
        }
    }

    /// Builds a request; from now on only its reply counts.
    pub fn ask(
        &mut self,
        class: &ClassName,
        holder: &LoanHolder,
        wish: LoanWish,
        now: MonotonicInstant,
    ) -> LoanRequest {
        self.sequence += 1;
        self.amount = self.amount(now).at_most(wish.want);
        self.asked = Some(now);
        self.pending = Some(PendingRequest {
            lost: false,
            sent: now,
            sequence: self.sequence,
            want: wish.want,
        });
        LoanRequest {
            class: class.clone(),
            committed: wish.committed,
            holder: holder.clone(),
            holding: self.amount,
            need: wish.need,
            sequence: self.sequence,
            used: wish.used,
            want: wish.want,
        }
    }

    /// Takes a reply and returns whether it was the one waited for.
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
            self.satisfied = amount.total().covers(pending.want);
            self.amount = amount;
            self.until = pending.sent + LOAN_TTL;
            self.backed_until = pending.sent + Duration::from_millis(backed_for_ms.into());
        }
        true
    }
}
