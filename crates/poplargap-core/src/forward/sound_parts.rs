use {
    super::RequestIdentity,
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::time::Duration,
};

/// Time for which a part counts as sound after an answer.
const SOUND_TIME: Duration = Duration::from_mins(2);

/// Most parts that are remembered.
const PARTS_MAX: usize = 8_192;

/// The answers to requests with one part.
#[derive(Clone, Copy, Debug)]
struct AnsweredPart {
    at: MonotonicInstant,
    started_ms: u64,
}

/// Prompt parts and requests that replicas recently answered without crashing.
#[derive(Debug, Default)]
pub struct SoundParts {
    answered: HashMap<u64, AnsweredPart>,
}

impl SoundParts {
    /// Records that a replica, started at `started_ms`, answered a request.
    pub fn record(&mut self, identity: &RequestIdentity, started_ms: u64, now: MonotonicInstant) {
        if self.answered.len() + identity.parts().len() >= PARTS_MAX {
            self.make_room(now);
        }
        for hash in identity.hashes() {
            let answered = self.answered.entry(hash).or_insert(AnsweredPart {
                at: now,
                started_ms,
            });
            answered.at = now;
            answered.started_ms = answered.started_ms.max(started_ms);
        }
    }

    /// Returns the newest start time of the replicas that recently answered a request with the part,
    /// in Unix milliseconds; `None` if none did.
    #[must_use]
    pub fn answered_by(&self, part: u64, now: MonotonicInstant) -> Option<u64> {
        let answered = self.answered.get(&part)?;
        (now.since(answered.at) < SOUND_TIME).then_some(answered.started_ms)
    }

    /// Drops expired parts, or the older half if too few are expired.
    fn make_room(&mut self, now: MonotonicInstant) {
        self.answered
            .retain(|_, answered| now.since(answered.at) < SOUND_TIME);
        if self.answered.len() <= PARTS_MAX / 2 {
            return;
        }
        let answers = self.answered.values();
        let mut times: Vec<MonotonicInstant> = answers.map(|answered| answered.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.answered.retain(|_, answered| answered.at > median);
    }
}
