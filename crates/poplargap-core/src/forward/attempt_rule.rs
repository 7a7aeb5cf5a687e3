use {
    super::{RepeatRule, SendOutcome},
    std::time::Duration,
    strum::IntoStaticStr,
};

/// Most tries for one request, including connections that don't open.
const TRIES_MAX: u32 = 4;

/// Time left below which no further attempt is made, since it couldn't finish in time.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(20);

/// Counts of the attempts for one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Attempts in which a replica received the request.
    pub deliveries: u32,
    /// Attempts that may have run the request.
    pub possible_runs: u32,
    /// All attempts, including refused connections.
    pub tries: u32,
}

impl AttemptHistory {
    /// Records the outcome of an attempt.
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
    /// No replica of the service accepts requests.
    NoReplica,
    /// The replicas that were tried are full or unreachable.
    Unavailable,
    /// The daemon has no routes yet.
    NotReady,
    /// The daemon is closing.
    Closing,
}

/// The daemon's answer to a request that no replica answered.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum FinalAnswer {
    /// The request didn't run and won't run.
    Refused,
    /// The request may have run, but there is no reply.
    Lost,
    /// The deadline has passed, and the request may have run.
    TimedOut,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Answer the caller now.
    Answer(FinalAnswer),
    /// Send the request to another replica.
    Retry {
        /// Whether the retry counts against the retry budget, as the service has already received
        /// the request.
        uses_budget: bool,
    },
}

/// Decides what follows the last failed attempt in `history`.
///
/// A request that may have run is sent again only if it is repeatable, and to at most
/// `max_attempts` replicas. One that provably didn't run may be sent again while tries and time are
/// left.
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
        let timed_out = if history.possible_runs > 0 {
            FinalAnswer::TimedOut
        } else {
            FinalAnswer::Refused
        };
        return NextStep::Answer(timed_out);
    }
    let may_repeat = repeat.is_repeatable() && history.possible_runs < max_attempts;
    if history.tries >= TRIES_MAX || (history.possible_runs > 0 && !may_repeat) {
        return NextStep::Answer(given_up);
    }
    NextStep::Retry {
        uses_budget: history.deliveries > 0,
    }
}
