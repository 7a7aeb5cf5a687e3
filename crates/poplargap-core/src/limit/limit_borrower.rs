//! Admission of requests under a class's limits in one daemon.

use {
    super::{
        Admission, Allowance, LoanHolder, LoanOutcome, LoanReply, LoanRequest, LoanStamp, Permit,
        REQUEST_WINDOW, TOKEN_WINDOW, UsageWindow,
        loan_account::{LoanAccount, LoanDemand},
        recent_peak::RecentPeak,
    },
    crate::{catalogue::LimitSet, instant::MonotonicInstant, name::ClassName},
    std::time::Duration,
};

/// Delay before the next loan request after a refusal or a lost reply.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

/// Holds one daemon's loan of a class's limits and admits requests under it.
///
/// A request is admitted only while an unexpired loan covers it. When a loan can't be renewed, no
/// request is admitted, but requests in flight continue, since an answer is never cut off. The
/// lender counts them again when the daemon's next loan request reports them.
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
    /// Creates a borrower without a loan.
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

    /// Sets the limits of the current catalogue.
    pub fn set_limits(&mut self, limits: LimitSet) {
        self.limits = limits;
    }

    /// Decides whether to admit a request of at most `tokens` prompt and answer tokens.
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

    /// Ends a request and corrects its estimated tokens to the `tokens` that it used.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is released once")]
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

    /// Applies the reply to a loan request; ignores replies to earlier requests.
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

    /// Records that the reply to request `sequence` was lost.
    pub fn loan_reply_lost(&mut self, sequence: u64, now: MonotonicInstant) {
        self.account.lose(sequence);
        self.ask_after = now + REFUSAL_PAUSE;
    }

    /// Returns a request that renews, reduces or returns the loan, if one is due.
    pub fn due_request(&mut self, now: MonotonicInstant) -> Option<LoanRequest> {
        if self.account.is_pending(now) {
            return None;
        }
        let held = self.held(now);
        let keep = self.keep(now);
        let idle = !keep.plus(keep).covers(held) || (self.scarce && !keep.covers(held));
        let active = held != Allowance::ZERO || self.in_flight > 0;
        let renewal = active && self.account.is_renewal_due(now);
        let refunded = self.scarce && std::mem::take(&mut self.refunded);
        if !(idle || renewal || refunded || self.account.is_unanswered(now)) {
            return None;
        }
        Some(self.request(Allowance::ZERO, keep, now))
    }

    /// Returns the loan's stamp if the loan can be renewed jointly with others.
    #[must_use]
    pub fn stamp(&self, now: MonotonicInstant) -> Option<LoanStamp> {
        let sequence = self.account.plain_sequence(now)?;
        let class = self.class.clone();
        Some(LoanStamp { class, sequence })
    }

    /// Applies the renewal of the loan with `stamp`, requested at `sent`.
    pub fn renewed(&mut self, stamp: &LoanStamp, sent: MonotonicInstant, scarce: bool) {
        self.account.renew(stamp.sequence, sent);
        self.scarce = scarce;
    }

    /// Returns the request that returns the whole loan; no request may be in flight.
    #[must_use]
    pub fn close(mut self, now: MonotonicInstant) -> LoanRequest {
        self.request(Allowance::ZERO, Allowance::ZERO, now)
    }

    /// Returns the amount that may be used at `now`.
    #[must_use]
    pub fn held(&self, now: MonotonicInstant) -> Allowance {
        self.account.amount(now).total()
    }

    /// Returns the holder that loan requests name.
    #[must_use]
    pub fn holder(&self) -> &LoanHolder {
        &self.holder
    }

    /// Returns the number of requests in flight.
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
        self.peak.record(used, now);
        Permit { slice, tokens }
    }

    fn ask(&mut self, need: Allowance, now: MonotonicInstant) -> LoanRequest {
        let missed = std::mem::take(&mut self.missed);
        let want = need.plus(missed).max(self.keep(now));
        self.request(need, want, now)
    }

    fn request(&mut self, need: Allowance, want: Allowance, now: MonotonicInstant) -> LoanRequest {
        let demand = LoanDemand {
            committed: Allowance::ZERO,
            need,
            used: self.used(now),
            want: want.min(Allowance::of_limits(&self.limits)),
        };
        self.account.ask(&self.class, &self.holder, demand, now)
    }

    /// Returns the amount to keep: that of requests in flight if the share is scarce, else the
    /// recent peak.
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
