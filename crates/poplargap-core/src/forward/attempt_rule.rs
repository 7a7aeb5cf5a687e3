use {
    super::{RepeatRule, SendOutcome},
    std::time::Duration,
    strum::IntoStaticStr,
};

/// Most connections that are tried for one request before it is refused.
const OPENINGS_MAX: u32 = 4;

/// Least time that another attempt needs to be of use.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(20);

/// What was done for one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Sends that reached a replica.
    pub deliveries: u32,
    /// Sends of which nothing proves that they didn't run.
    pub possible_runs: u32,
    /// All tries, refused connections included.
    pub tries: u32,
}

impl AttemptHistory {
    /// Records one outcome.
    pub fn record(&mut self, outcome: SendOutcome) {
        self.tries += 1;
        if outcome.was_delivered() {
            self.deliveries += 1;
        }
        if !outcome.proves_not_run() {
            self.possible_runs += 1;
        }
    }
}

/// Why a request is refused without having run.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No replica of the service takes requests.
    NoReplica,
    /// The replicas that were asked are full or unreachable.
    Unavailable,
    /// The daemon has no routes yet.
    NotReady,
    /// The daemon is closing.
    Closing,
}

/// The answer to a request that is given up.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum FinalAnswer {
    /// The request didn't run and won't.
    Refused,
    /// The request may have run.
    Lost,
    /// The time is over; the request may have run.
    TimedOut,
}

/// What follows an attempt without success.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Answer the caller now.
    Answer(FinalAnswer),
    /// Send the request to another replica; `uses_budget` says that the retry budget pays for it.
    Retry {
        /// Whether the send is another arrival at the service.
        uses_budget: bool,
    },
}

/// Decides what follows `outcome`, which `history` already holds.
///
/// A request that may have run goes out again only where it may be repeated, to no more replicas
/// than its route allows. One that provably didn't run may go on.
#[must_use]
pub fn next_step(
    repeat: RepeatRule,
    max_attempts: u32,
    history: AttemptHistory,
    time_left: Duration,
) -> NextStep {
    let given_up = if history.possible_runs > 0 {
        FinalAnswer::Lost
    } else {
        FinalAnswer::Refused
    };
    if time_left < ATTEMPT_TIME_MIN {
        let late = if history.possible_runs > 0 {
            FinalAnswer::TimedOut
        } else {
            FinalAnswer::Refused
        };
        return NextStep::Answer(late);
    }
    let may_repeat = repeat.is_repeatable() && history.possible_runs < max_attempts;
    if history.tries >= OPENINGS_MAX || (history.possible_runs > 0 && !may_repeat) {
        return NextStep::Answer(given_up);
    }
    NextStep::Retry {
        uses_budget: history.deliveries > 0,
    }
}
