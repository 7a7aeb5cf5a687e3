//! Schedule of the faults of a soak, drawn from a seed.

use {
    super::FaultKind,
    rand::{Rng, SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
    strum::IntoEnumIterator,
};

const FIRST_AT: Duration = Duration::from_secs(4);
const OUTAGE_LEN: Duration = Duration::from_mins(1);
const PAUSE_MAX_MS: u64 = 3_000;
const PAUSE_MIN_MS: u64 = 1_500;

/// Stream of the random generator; the load uses another one.
const STREAM: u64 = 1;

/// One planned fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FaultPlan {
    /// Time of its begin, since the start of the soak.
    pub at: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time between begin and end.
    pub len: Duration,
    /// Random number that selects what the fault affects.
    pub target: usize,
}

/// Planned faults ordered by their begin, single ones and pairs of concurrent faults.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FaultSchedule(pub Vec<FaultPlan>);

impl FaultSchedule {
    /// Draws the faults of a run of this duration.
    #[must_use]
    pub fn draw(seed: u64, duration: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(STREAM);
        let mut plans = Vec::new();
        let mut kinds = Vec::new();
        let mut at = FIRST_AT;
        while at < duration {
            let pair = rng.random_bool(0.5);
            let first = draw_plan(&mut kinds, at, duration, &mut rng);
            let mut len = first.len;
            plans.push(first);
            if pair {
                let offset = Duration::from_millis(rng.random_range(0..1_500));
                let second = draw_plan(&mut kinds, at + offset, duration, &mut rng);
                len = len.max(second.len + offset);
                plans.push(second);
            }
            // Further faults begin and end during a long outage.
            let pause = Duration::from_millis(rng.random_range(PAUSE_MIN_MS..PAUSE_MAX_MS));
            at += if len >= OUTAGE_LEN { len / 4 } else { len } + pause;
        }
        plans.sort_by_key(|plan| plan.at);
        Self(plans)
    }
}

fn draw_plan(
    kinds: &mut Vec<FaultKind>,
    at: Duration,
    duration: Duration,
    rng: &mut ChaCha8Rng,
) -> FaultPlan {
    if kinds.is_empty() {
        kinds.extend(FaultKind::iter());
        kinds.shuffle(rng);
    }
    let kind = kinds.pop().expect("an empty list of kinds is refilled");
    let len = match kind {
        FaultKind::DaemonPause => Duration::from_millis(rng.random_range(3_000..13_000)),
        FaultKind::EditRace => Duration::from_millis(200),
        FaultKind::StoreOutage => OUTAGE_LEN.min(duration / 3),
        FaultKind::VmLag | FaultKind::VmLeaving | FaultKind::CatalogueDrain => {
            Duration::from_millis(rng.random_range(5_000..8_000))
        }
        _ => Duration::from_millis(rng.random_range(1_500..6_000)),
    };
    FaultPlan {
        at,
        kind,
        len,
        target: rng.random_range(0..usize::MAX),
    }
}
