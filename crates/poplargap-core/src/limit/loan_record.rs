//! A lender's record of one loan.

use {
    super::{Allowance, LOAN_TTL, LoanAmount, LoanRequest, REQUEST_WINDOW, TOKEN_WINDOW},
    crate::instant::MonotonicInstant,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time by which a loan expires later at the lender, since clocks may run at different rates.
pub const LOAN_MARGIN: Duration = Duration::from_millis(200);

/// The loan of one holder as its lender counts it.
#[derive(Clone, Debug)]
pub(super) struct LoanRecord {
    /// Latest time at which the holder's backed part expires.
    pub backed_until: MonotonicInstant,
    /// Latest time at which the loan expires.
    pub expires: MonotonicInstant,
    /// Maximum that the holder may use until its backed part expires.
    pub full: Allowance,
    /// Maximum that the holder may use after its backed part has expired.
    pub own: Allowance,
    /// Number of the last answered request.
    pub sequence: u64,
    /// Usage that the holder's last request reported.
    pub used: Allowance,
    /// When `used` was reported.
    pub used_at: MonotonicInstant,
    /// Size that the holder last requested.
    pub want: Allowance,
}

/// A [`LoanRecord`] in a handover, with times as durations from the handover.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct HandoverRecord {
    pub backed_for: Duration,
    pub expires_in: Duration,
    pub full: Allowance,
    pub own: Allowance,
    pub sequence: u64,
    pub used: Allowance,
}

impl LoanRecord {
    /// Creates the record of answering `request` with `amount`.
    ///
    /// It covers both the holder's previous loan and the new one, since the reply may be lost.
    pub fn answered(
        request: &LoanRequest,
        amount: &LoanAmount,
        backed_until: MonotonicInstant,
        now: MonotonicInstant,
    ) -> Self {
        Self {
            backed_until,
            expires: now + LOAN_TTL + LOAN_MARGIN,
            full: request
                .committed
                .max(request.holding.total())
                .max(amount.total()),
            own: request.committed.max(request.holding.own).max(amount.own),
            sequence: request.sequence,
            used: request.used,
            used_at: now,
            want: request.want,
        }
    }

    /// Converts expired parts of the loan to the usage that the holder may have made until then.
    pub fn advance(&mut self, now: MonotonicInstant) {
        if now >= self.backed_until && self.full != self.own {
            self.expire_part(self.backed_until, now);
            self.full = self.own;
        }
        if now >= self.expires && self.want.max(self.full) != Allowance::ZERO {
            self.expire_part(self.expires, now);
            self.full = Allowance::ZERO;
            self.own = Allowance::ZERO;
            self.want = Allowance::ZERO;
        }
    }

    /// Returns whether the loan is unexpired and has no backed part.
    pub fn is_plain(&self, now: MonotonicInstant) -> bool {
        now < self.expires && self.full != Allowance::ZERO && self.full == self.own
    }

    /// Renews the loan without changing its size.
    pub fn renew(&mut self, now: MonotonicInstant) {
        self.expires = now + LOAN_TTL + LOAN_MARGIN;
        self.want = self.full;
    }

    /// Returns whether the loan has expired and its usage has left all windows.
    pub fn is_over(&self, now: MonotonicInstant) -> bool {
        now >= self.expires && self.count(self.full, now) == Allowance::ZERO
    }

    /// Returns the larger of `held` and the holder's usage in the windows that end at `now`.
    pub fn count(&self, held: Allowance, now: MonotonicInstant) -> Allowance {
        held.max(self.recent_usage(now))
    }

    fn recent_usage(&self, now: MonotonicInstant) -> Allowance {
        let keep = |amount, counted: bool| if counted { amount } else { 0 };
        Allowance {
            concurrency: keep(self.used.concurrency, now < self.expires),
            requests: keep(self.used.requests, now < self.used_at + REQUEST_WINDOW),
            tokens: keep(self.used.tokens, now < self.used_at + TOKEN_WINDOW),
        }
    }

    fn expire_part(&mut self, ended: MonotonicInstant, now: MonotonicInstant) {
        let concurrency = self.used.concurrency;
        let used = self.recent_usage(now).max(self.full);
        self.used = Allowance {
            concurrency,
            ..used
        };
        self.used_at = self.used_at.max(ended);
    }

    /// Returns the record with times as durations from `now`.
    pub fn hand_over(&self, now: MonotonicInstant) -> HandoverRecord {
        HandoverRecord {
            backed_for: self.backed_until.since(now),
            expires_in: self.expires.since(now),
            full: self.full,
            own: self.own,
            sequence: self.sequence,
            used: self.recent_usage(now),
        }
    }
}

impl HandoverRecord {
    /// Converts back to a record with times; `now` is later than the handover.
    pub fn restore(self, now: MonotonicInstant) -> LoanRecord {
        LoanRecord {
            backed_until: now + self.backed_for,
            expires: now + self.expires_in,
            full: self.full,
            own: self.own,
            sequence: self.sequence,
            used: self.used,
            used_at: now,
            want: self.full,
        }
    }
}
