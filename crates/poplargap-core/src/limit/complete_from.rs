//! Times from which a lender's records include all loans of its predecessors.

use {
    super::{Allowance, REQUEST_WINDOW, TAKEOVER_WAIT, TOKEN_WINDOW},
    crate::instant::MonotonicInstant,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Times at which earlier loans, and the usage under them, have left each window.
#[derive(Clone, Copy, Debug)]
pub(super) struct CompleteFrom {
    concurrency: MonotonicInstant,
    requests: MonotonicInstant,
    tokens: MonotonicInstant,
}

/// A [`CompleteFrom`] in a handover, as durations from the handover.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct HandoverCompleteFrom {
    concurrency: Duration,
    requests: Duration,
    tokens: Duration,
}

impl CompleteFrom {
    /// Creates the times of a lender that has no records and is the only one since `since`.
    pub fn after_wait(since: MonotonicInstant) -> Self {
        let concurrency = since + TAKEOVER_WAIT;
        Self {
            concurrency,
            requests: concurrency + REQUEST_WINDOW,
            tokens: concurrency + TOKEN_WINDOW,
        }
    }

    /// Returns each quantity of `all` once its records are complete, and of `confirmed` before.
    pub fn select(&self, all: Allowance, confirmed: Allowance, now: MonotonicInstant) -> Allowance {
        let choose = |from, all, confirmed| if now >= from { all } else { confirmed };
        Allowance {
            concurrency: choose(self.concurrency, all.concurrency, confirmed.concurrency),
            requests: choose(self.requests, all.requests, confirmed.requests),
            tokens: choose(self.tokens, all.tokens, confirmed.tokens),
        }
    }

    /// Returns the times as durations from `now`.
    pub fn hand_over(&self, now: MonotonicInstant) -> HandoverCompleteFrom {
        HandoverCompleteFrom {
            concurrency: self.concurrency.since(now),
            requests: self.requests.since(now),
            tokens: self.tokens.since(now),
        }
    }
}

impl HandoverCompleteFrom {
    /// Converts back to times; `now` is later than the handover.
    pub fn restore(self, now: MonotonicInstant) -> CompleteFrom {
        CompleteFrom {
            concurrency: now + self.concurrency,
            requests: now + self.requests,
            tokens: now + self.tokens,
        }
    }
}
