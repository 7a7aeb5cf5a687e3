//! From when a lender knows all that its predecessors lent.

use {
    super::{Allowance, REQUEST_WINDOW, TAKEOVER_WAIT, TOKEN_WINDOW},
    crate::instant::MonotonicInstant,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// When earlier loans and the uses made under them have left each window.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownFrom {
    concurrency: MonotonicInstant,
    requests: MonotonicInstant,
    tokens: MonotonicInstant,
}

/// A [`KnownFrom`] on its way to the next lender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct MovedKnownFrom {
    concurrency: Duration,
    requests: Duration,
    tokens: Duration,
}

impl KnownFrom {
    /// Creates the times for a lender that is the only one since `since` and knows nothing.
    pub fn after_wait(since: MonotonicInstant) -> Self {
        let concurrency = since + TAKEOVER_WAIT;
        Self {
            concurrency,
            requests: concurrency + REQUEST_WINDOW,
            tokens: concurrency + TOKEN_WINDOW,
        }
    }

    /// Returns each quantity of `all` once it is known, and of `confirmed` before.
    pub fn select(&self, all: Allowance, confirmed: Allowance, now: MonotonicInstant) -> Allowance {
        let choose = |from, all, confirmed| if now >= from { all } else { confirmed };
        Allowance {
            concurrency: choose(self.concurrency, all.concurrency, confirmed.concurrency),
            requests: choose(self.requests, all.requests, confirmed.requests),
            tokens: choose(self.tokens, all.tokens, confirmed.tokens),
        }
    }

    /// Returns the times as durations from `now`.
    pub fn depart(&self, now: MonotonicInstant) -> MovedKnownFrom {
        MovedKnownFrom {
            concurrency: self.concurrency.since(now),
            requests: self.requests.since(now),
            tokens: self.tokens.since(now),
        }
    }
}

impl MovedKnownFrom {
    /// Returns the times from `now`, which is later than the departure.
    pub fn arrive(self, now: MonotonicInstant) -> KnownFrom {
        KnownFrom {
            concurrency: now + self.concurrency,
            requests: now + self.requests,
            tokens: now + self.tokens,
        }
    }
}
