use {
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::time::Duration,
};

/// Length of one counting window; shares are computed over the current and the previous one.
const COUNT_WINDOW: Duration = Duration::from_secs(4);

/// Requests in one window.
#[derive(Clone, Debug, Default)]
struct PromptCount {
    all: u32,
    by_key: HashMap<u64, u32>,
}

/// Shares of the prompts among a daemon's own recent requests.
///
/// Callers are spread over the daemons at random, so a prompt's share of one daemon's requests
/// estimates its share of all.
#[derive(Clone, Debug, Default)]
pub struct PromptRates {
    previous: PromptCount,
    current: PromptCount,
    started: MonotonicInstant,
}

impl PromptRates {
    /// Counts a request for the prompt `key`.
    pub fn record(&mut self, key: u64, now: MonotonicInstant) {
        let age = now.since(self.started);
        if age >= COUNT_WINDOW {
            self.started = now;
            let past = std::mem::take(&mut self.current);
            self.previous = if age < COUNT_WINDOW * 2 {
                past
            } else {
                PromptCount::default()
            };
        }
        self.current.all += 1;
        *self.current.by_key.entry(key).or_default() += 1;
    }

    /// Returns the share of `key`, from 0 to 1; a single request counts as 0.
    #[must_use]
    pub fn share(&self, key: u64) -> f64 {
        let counts = [&self.previous, &self.current];
        let all: u32 = counts.iter().map(|count| count.all).sum();
        let own: u32 = counts
            .iter()
            .filter_map(|count| count.by_key.get(&key))
            .sum();
        f64::from(own.saturating_sub(1)) / f64::from(all.max(1))
    }
}
