//! The lender's side of one loan.

use {
    super::{Allowance, LOAN_TTL, LoanAmount, LoanRequest, REQUEST_WINDOW, TOKEN_WINDOW},
    crate::instant::MonotonicInstant,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time by which the lender's end of a loan is later, against clocks of different rates.
pub const LOAN_MARGIN: Duration = Duration::from_millis(200);

/// What a lender counts for one holder.
#[derive(Clone, Debug)]
pub(super) struct LoanRecord {
    /// When the holder's backed part ends at the latest.
    pub backed_until: MonotonicInstant,
    /// When the loan ends at the latest.
    pub expires: MonotonicInstant,
    /// Most that the holder may use while its backed part lasts.
    pub full: Allowance,
    /// Most that the holder may use after its backed part has ended.
    pub own: Allowance,
    /// Number of the last request answered.
    pub sequence: u64,
    /// What the holder had used when it last asked.
    pub used: Allowance,
    /// When `used` was learnt.
    pub used_at: MonotonicInstant,
    /// What the holder last asked for.
    pub want: Allowance,
}

/// A [`LoanRecord`] on its way to the next lender, with times as durations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct MovedRecord {
    pub backed_for: Duration,
    pub expires_in: Duration,
    pub full: Allowance,
    pub own: Allowance,
    pub sequence: u64,
    pub used: Allowance,
}

impl LoanRecord {
    /// Records that `request` was answered with `amount`.
    ///
    /// The holder has either what it held before or what it was given.
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

    /// Turns what has ended into uses that its holder may have made until then.
    pub fn advance(&mut self, now: MonotonicInstant) {
        if now >= self.backed_until && self.full != self.own {
            self.end_part(self.backed_until, now);
            self.full = self.own;
        }
        if now >= self.expires && self.want.max(self.full) != Allowance::ZERO {
            self.end_part(self.expires, now);
            self.full = Allowance::ZERO;
            self.own = Allowance::ZERO;
            self.want = Allowance::ZERO;
        }
    }

    /// Returns whether the loan lasts and no part of it is lent on.
    pub fn is_plain(&self, now: MonotonicInstant) -> bool {
        now < self.expires && self.full != Allowance::ZERO && self.full == self.own
    }

    /// Renews the loan as it is.
    pub fn renew(&mut self, now: MonotonicInstant) {
        self.expires = now + LOAN_TTL + LOAN_MARGIN;
        self.want = self.full;
    }

    /// Returns whether nothing is left to count.
    pub fn is_over(&self, now: MonotonicInstant) -> bool {
        now >= self.expires && self.count(self.full, now) == Allowance::ZERO
    }

    /// Returns what the holder may have used in a window that ends at `now` or later.
    pub fn count(&self, held: Allowance, now: MonotonicInstant) -> Allowance {
        held.max(self.recent_use(now))
    }

    fn recent_use(&self, now: MonotonicInstant) -> Allowance {
        let keep = |amount, kept: bool| if kept { amount } else { 0 };
        Allowance {
            concurrency: keep(self.used.concurrency, now < self.expires),
            requests: keep(self.used.requests, now < self.used_at + REQUEST_WINDOW),
            tokens: keep(self.used.tokens, now < self.used_at + TOKEN_WINDOW),
        }
    }

    fn end_part(&mut self, ended: MonotonicInstant, now: MonotonicInstant) {
        let concurrency = self.used.concurrency;
        let used = self.recent_use(now).max(self.full);
        self.used = Allowance {
            concurrency,
            ..used
        };
        self.used_at = self.used_at.max(ended);
    }

    /// Returns the record with times as durations from `now`.
    pub fn depart(&self, now: MonotonicInstant) -> MovedRecord {
        MovedRecord {
            backed_for: self.backed_until.since(now),
            expires_in: self.expires.since(now),
            full: self.full,
            own: self.own,
            sequence: self.sequence,
            used: self.recent_use(now),
        }
    }
}

impl MovedRecord {
    /// Returns the record with times from `now`, which is later than its departure.
    pub fn arrive(self, now: MonotonicInstant) -> LoanRecord {
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
