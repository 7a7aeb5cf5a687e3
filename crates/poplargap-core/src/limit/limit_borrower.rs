//! Admission under a class's limits in one daemon.

use {
    super::{
        Admission, Allowance, LoanHolder, LoanOutcome, LoanReply, LoanRequest, LoanStamp, Permit,
        REQUEST_WINDOW, TOKEN_WINDOW, UsageWindow,
        loan_account::{LoanAccount, LoanWish},
        recent_peak::RecentPeak,
    },
    crate::{catalogue::LimitSet, instant::MonotonicInstant, name::ClassName},
    std::time::Duration,
};

/// Wait after a refusal by a daemon that isn't the lender, and after a lost reply.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

/// Holds what its class's lender lent to one daemon and admits requests under it.
///
/// A request is admitted only while an unexpired loan covers it. When a loan can't be renewed the
/// requests in flight go on, for an answer is never cut, and nothing new is admitted; the lender
/// counts them again as soon as it hears of them.
#[derive(Debug)]
pub struct LimitBorrower {
    account: LoanAccount,
    ask_after: MonotonicInstant,
    class: ClassName,
    holder: LoanHolder,
    in_flight: u64,
    limits: LimitSet,
    missed: Allowance,
    peak: RecentPeak,
    refunded: bool,
    requests: UsageWindow,
    scarce: bool,
    tokens: UsageWindow,
}

impl LimitBorrower {
    /// Creates a borrower that holds nothing.
    #[must_use]
    pub fn new(class: ClassName, holder: LoanHolder, limits: LimitSet) -> Self {
        Self {
            account: LoanAccount::new(),
            ask_after: MonotonicInstant::default(),
            class,
            holder,
            in_flight: 0,
            limits,
            missed: Allowance::ZERO,
            peak: RecentPeak::default(),
            refunded: false,
            requests: UsageWindow::new(REQUEST_WINDOW),
            scarce: false,
            tokens: UsageWindow::new(TOKEN_WINDOW),
        }
    }

    /// Changes the limits to those of the catalogue in force.
    pub fn set_limits(&mut self, limits: LimitSet) {
        self.limits = limits;
    }

    /// Decides about a request that uses at most `tokens` prompt and answer tokens.
    pub fn admit(&mut self, tokens: u64, now: MonotonicInstant) -> Admission {
        let one = self.one_request(tokens);
        if !Allowance::of_limits(&self.limits).covers(one) {
            return Admission::Oversized;
        }
        let need = self.used(now).plus(one);
        if self.held(now).covers(need) {
            return Admission::Granted(self.grant(tokens, now));
        }
        if self.account.is_pending(now) {
            self.missed = self.missed.plus(one);
            return Admission::Pending;
        }
        if now < self.ask_after {
            let retry_after = self.ask_after.since(now);
            return Admission::Refused { retry_after };
        }
        Admission::Ask(self.ask(need, now))
    }

    /// Ends a request that used `tokens` in fact.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is settled once")]
    pub fn release(&mut self, permit: Permit, tokens: u64, now: MonotonicInstant) {
        let Permit {
            slice,
            tokens: charged,
        } = permit;
        self.in_flight = self.in_flight.saturating_sub(1);
        if tokens > charged {
            self.tokens.record(tokens - charged, now);
            return;
        }
        self.tokens.refund(slice, charged - tokens);
        self.refunded |= tokens < charged && self.limits.tokens_per_minute.is_some();
    }

    /// Takes the reply to a loan request.
    pub fn accept_loan_reply(&mut self, reply: &LoanReply, now: MonotonicInstant) {
        if !self.account.accept(reply) {
            return;
        }
        let LoanOutcome::Granted {
            ask_again_ms,
            scarce,
            ..
        } = reply.outcome
        else {
            self.ask_after = now + REFUSAL_PAUSE;
            return;
        };
        self.scarce = scarce;
        self.ask_after = now + Duration::from_millis(ask_again_ms.into());
    }

    /// Notes that the reply to request `sequence` won't come.
    pub fn loan_reply_lost(&mut self, sequence: u64, now: MonotonicInstant) {
        self.account.lose(sequence);
        self.ask_after = now + REFUSAL_PAUSE;
    }

    /// Returns a request that renews, lowers or returns the loan, when one is due.
    pub fn due_request(&mut self, now: MonotonicInstant) -> Option<LoanRequest> {
        if self.account.is_pending(now) {
            return None;
        }
        let held = self.held(now);
        let keep = self.keep(now);
        let idle = !keep.plus(keep).covers(held) || (self.scarce && !keep.covers(held));
        let known = held != Allowance::ZERO || self.in_flight > 0;
        let renewal = known && self.account.is_renewal_due(now);
        let refunded = self.scarce && std::mem::take(&mut self.refunded);
        if !(idle || renewal || refunded || self.account.is_unanswered(now)) {
            return None;
        }
        Some(self.request(Allowance::ZERO, keep, now))
    }

    /// Returns the loan's stamp, when it can be renewed together with others.
    #[must_use]
    pub fn stamp(&self, now: MonotonicInstant) -> Option<LoanStamp> {
        let sequence = self.account.plain_sequence(now)?;
        let class = self.class.clone();
        Some(LoanStamp { class, sequence })
    }

    /// Takes the renewal of `stamp`, which was asked for at `sent`.
    pub fn renewed(&mut self, stamp: &LoanStamp, sent: MonotonicInstant, scarce: bool) {
        self.account.renew(stamp.sequence, sent);
        self.scarce = scarce;
    }

    /// Returns the request that gives everything back; requests in flight have ended.
    #[must_use]
    pub fn close(mut self, now: MonotonicInstant) -> LoanRequest {
        self.request(Allowance::ZERO, Allowance::ZERO, now)
    }

    /// Returns what may be used at `now`.
    #[must_use]
    pub fn held(&self, now: MonotonicInstant) -> Allowance {
        self.account.amount(now).total()
    }

    /// Returns the name under which loans are asked for.
    #[must_use]
    pub fn holder(&self) -> &LoanHolder {
        &self.holder
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    fn one_request(&self, tokens: u64) -> Allowance {
        let one = Allowance {
            concurrency: 1,
            requests: 1,
            tokens,
        };
        one.bound_by(&self.limits)
    }

    fn used(&mut self, now: MonotonicInstant) -> Allowance {
        let used = Allowance {
            concurrency: self.in_flight,
            requests: self.requests.total(now),
            tokens: self.tokens.total(now),
        };
        used.bound_by(&self.limits)
    }

    fn grant(&mut self, tokens: u64, now: MonotonicInstant) -> Permit {
        self.in_flight += 1;
        self.requests.record(1, now);
        let slice = self.tokens.record(tokens, now);
        let used = self.used(now);
        self.peak.note(used, now);
        Permit { slice, tokens }
    }

    fn ask(&mut self, need: Allowance, now: MonotonicInstant) -> LoanRequest {
        let waiting = std::mem::take(&mut self.missed);
        let want = need.plus(waiting).max(self.keep(now));
        self.request(need, want, now)
    }

    fn request(&mut self, need: Allowance, want: Allowance, now: MonotonicInstant) -> LoanRequest {
        let wish = LoanWish {
            committed: Allowance::ZERO,
            need,
            used: self.used(now),
            want: want.min(Allowance::of_limits(&self.limits)),
        };
        self.account.ask(&self.class, &self.holder, wish, now)
    }

    /// Returns what is worth holding: the requests in flight while others lack it, else the peak.
    fn keep(&mut self, now: MonotonicInstant) -> Allowance {
        if self.scarce {
            let concurrency = self.in_flight;
            return Allowance {
                concurrency,
                ..Allowance::ZERO
            }
            .bound_by(&self.limits);
        }
        let peak = self.peak.highest(now).max(self.used(now));
        peak.bound_by(&self.limits)
    }
}
