use {
    super::PromptPart,
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::time::Duration,
};

/// Time for which a part counts as sound after an answer.
const SOUND_TIME: Duration = Duration::from_mins(2);

/// Most parts that are remembered.
const PARTS_MAX: usize = 8_192;

/// Prompt parts that replicas recently answered without crashing.
#[derive(Debug, Default)]
pub struct SoundParts {
    answered: HashMap<u64, MonotonicInstant>,
}

impl SoundParts {
    /// Records that a replica answered a request with these parts.
    pub fn record(&mut self, parts: &[PromptPart], now: MonotonicInstant) {
        if self.answered.len() + parts.len() > PARTS_MAX {
            self.make_room(now);
        }
        let answered = parts.iter().map(|part| (part.hash, now));
        self.answered.extend(answered);
    }

    /// Returns whether a replica recently answered a request with the part.
    #[must_use]
    pub fn is_sound(&self, part: u64, now: MonotonicInstant) -> bool {
        let answered = self.answered.get(&part);
        answered.is_some_and(|at| now.since(*at) < SOUND_TIME)
    }

    /// Drops expired parts, or the older half if too few are expired.
    fn make_room(&mut self, now: MonotonicInstant) {
        self.answered.retain(|_, at| now.since(*at) < SOUND_TIME);
        if self.answered.len() <= PARTS_MAX / 2 {
            return;
        }
        let mut times: Vec<MonotonicInstant> = self.answered.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.answered.retain(|_, at| *at > median);
    }
}
