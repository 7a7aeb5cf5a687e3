use {
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::time::Duration,
};

/// Length of one count; a share is taken over the present count and the one before.
const COUNT_SPAN: Duration = Duration::from_secs(4);

#[derive(Clone, Debug, Default)]
struct PromptCount {
    all: u32,
    by_key: HashMap<u64, u32>,
}

/// Shares of the prompts among a daemon's own requests of the last seconds.
///
/// Callers are spread over the daemons by chance, so a prompt's share of one daemon's requests
/// stands for its share of all.
#[derive(Clone, Debug, Default)]
pub struct PromptRates {
    before: PromptCount,
    now: PromptCount,
    started: MonotonicInstant,
}

impl PromptRates {
    /// Counts a request for the prompt `key`.
    pub fn record(&mut self, key: u64, now: MonotonicInstant) {
        let age = now.since(self.started);
        if age >= COUNT_SPAN {
            self.started = now;
            let past = std::mem::take(&mut self.now);
            self.before = if age < COUNT_SPAN * 2 {
                past
            } else {
                PromptCount::default()
            };
        }
        self.now.all += 1;
        *self.now.by_key.entry(key).or_default() += 1;
    }

    /// Returns the share of `key`, from 0 to 1; a single request says nothing.
    #[must_use]
    pub fn share(&self, key: u64) -> f64 {
        let counts = [&self.before, &self.now];
        let all: u32 = counts.iter().map(|count| count.all).sum();
        let own: u32 = counts
            .iter()
            .filter_map(|count| count.by_key.get(&key))
            .sum();
        f64::from(own.saturating_sub(1)) / f64::from(all.max(1))
    }
}
