//! Amounts of the three limited quantities: concurrency, requests and tokens.

use {
    crate::catalogue::LimitSet,
    serde::{Deserialize, Serialize},
};

/// An amount of each limited quantity.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Allowance {
    /// Requests in flight at once.
    pub concurrency: u64,
    /// Requests started in one [`REQUEST_WINDOW`](super::REQUEST_WINDOW).
    pub requests: u64,
    /// Tokens charged in one [`TOKEN_WINDOW`](super::TOKEN_WINDOW).
    pub tokens: u64,
}

impl Allowance {
    /// Zero of each quantity.
    pub const ZERO: Self = Self {
        concurrency: 0,
        requests: 0,
        tokens: 0,
    };

    /// Converts limits to amounts; a quantity without a limit becomes zero.
    #[must_use]
    pub fn of_limits(limits: &LimitSet) -> Self {
        Self {
            concurrency: limits.concurrency.unwrap_or(0).into(),
            requests: limits.requests_per_second.unwrap_or(0).into(),
            tokens: limits.tokens_per_minute.unwrap_or(0),
        }
    }

    /// Returns the amount with quantities that `limits` doesn't limit set to zero.
    #[must_use]
    pub fn bound_by(self, limits: &LimitSet) -> Self {
        let keep = |amount, limited: bool| if limited { amount } else { 0 };
        Self {
            concurrency: keep(self.concurrency, limits.concurrency.is_some()),
            requests: keep(self.requests, limits.requests_per_second.is_some()),
            tokens: keep(self.tokens, limits.tokens_per_minute.is_some()),
        }
    }

    /// Returns whether each quantity is at least as large as that of `other`.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.max(other) == self
    }

    /// Returns a quarter of each quantity, rounded up.
    #[must_use]
    pub fn quarter(self) -> Self {
        self.zip(self, |amount, _| amount.div_ceil(4))
    }

    /// Returns the maximum of each quantity.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the minimum of each quantity.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Returns the difference of each quantity, or zero where `other` is larger.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns the sum of each quantity.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    fn zip(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            concurrency: combine(self.concurrency, other.concurrency),
            requests: combine(self.requests, other.requests),
            tokens: combine(self.tokens, other.tokens),
        }
    }
}

impl FromIterator<Allowance> for Allowance {
    fn from_iter<I: IntoIterator<Item = Self>>(iter: I) -> Self {
        iter.into_iter().fold(Self::ZERO, Self::plus)
    }
}
