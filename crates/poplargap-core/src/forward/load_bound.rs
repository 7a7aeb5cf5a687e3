/// Upper bound on the requests of a replica that is chosen by prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadBound {
    /// Factor on the replicas' mean load for a long prompt.
    long_factor: f64,
    /// Factor on the replicas' mean load for a short prompt.
    short_factor: f64,
    /// Requests that are added to the scaled mean.
    slack: f64,
}

/// Bound of a daemon without load reports; it is tight, since peers may add as many requests.
const UNREPORTED_BOUND: LoadBound = LoadBound {
    long_factor: 1.3,
    short_factor: 1.0,
    slack: 1.2,
};

/// Bound of a daemon with fresh load reports of all replicas.
const REPORTED_BOUND: LoadBound = LoadBound {
    long_factor: 1.4,
    short_factor: 1.1,
    slack: 2.0,
};

/// Shared tokens from which a prompt counts as long.
const LONG_PROMPT_TOKENS: f64 = 4_096.0;

impl LoadBound {
    /// Interpolates between the bounds without and with load reports by `confidence`, 0 to 1.
    pub(super) fn at(confidence: f64) -> Self {
        let between =
            |unreported: f64, reported: f64| unreported + (reported - unreported) * confidence;
        Self {
            long_factor: between(UNREPORTED_BOUND.long_factor, REPORTED_BOUND.long_factor),
            short_factor: between(UNREPORTED_BOUND.short_factor, REPORTED_BOUND.short_factor),
            slack: between(UNREPORTED_BOUND.slack, REPORTED_BOUND.slack),
        }
    }

    /// Returns the most requests that a replica may have, including the new one.
    ///
    /// A short prompt is cheap to prefill again, so its bound is lower, which leaves the capacity
    /// of busy replicas to the long prompts that they have cached.
    pub(super) fn requests(&self, mean: f64, shared_tokens: u64) -> f64 {
        let length = (shared_tokens as f64 / LONG_PROMPT_TOKENS).min(1.0);
        let factor = self.short_factor + (self.long_factor - self.short_factor) * length;
        factor * mean + self.slack
    }
}
