//! The seeded schedule of faults.

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

/// Random stream of the schedule.
const STREAM: u64 = 1;

/// One planned fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FaultPlan {
    /// Begin, since the start.
    pub at: Duration,
    /// The kind.
    pub kind: FaultKind,
    /// Time between begin and end.
    pub len: Duration,
    /// Draws what is hit.
    pub target: usize,
}

/// All planned faults by their begin, alone and in pairs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FaultSchedule(pub Vec<FaultPlan>);

impl FaultSchedule {
    /// Draws the faults of a run.
    #[must_use]
    pub fn draw(seed: u64, duration: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(STREAM);
        let mut plans = Vec::new();
        let mut deck = Vec::new();
        let mut at = FIRST_AT;
        while at < duration {
            let pair = rng.random_bool(0.5);
            let first = draw_plan(&mut deck, at, duration, &mut rng);
            let mut len = first.len;
            plans.push(first);
            if pair {
                let offset = Duration::from_millis(rng.random_range(0..1_500));
                let second = draw_plan(&mut deck, at + offset, duration, &mut rng);
                len = len.max(second.len + offset);
                plans.push(second);
            }
            // Other faults come and go during a long outage.
            let pause = Duration::from_millis(rng.random_range(PAUSE_MIN_MS..PAUSE_MAX_MS));
            at += if len >= OUTAGE_LEN { len / 4 } else { len } + pause;
        }
        plans.sort_by_key(|plan| plan.at);
        Self(plans)
    }
}

fn draw_plan(
    deck: &mut Vec<FaultKind>,
    at: Duration,
    duration: Duration,
    rng: &mut ChaCha8Rng,
) -> FaultPlan {
    if deck.is_empty() {
        deck.extend(FaultKind::iter());
        deck.shuffle(rng);
    }
    let kind = deck.pop().expect("the deck was filled");
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
