use {
    super::{RepeatRule, RouteEntry},
    crate::instant::MonotonicInstant,
    displaydoc::Display,
    std::time::Duration,
};

/// Most bytes of a stream between two events, as of comments and blank lines.
const EVENTLESS_BYTES_MAX: usize = 64 * 1024;

/// Multiple of the route's longest pause after which a stream resumes elsewhere.
const RESUME_GAPS: u32 = 4;

/// Shortest pause after which a stream resumes elsewhere; an overloaded replica pauses for less, and
/// moving its streams would add to the load.
const RESUME_PAUSE_MIN: Duration = Duration::from_millis(1_200);

/// Shortest pause after which a stream is given up; callers leave earlier.
const GIVE_UP_MIN: Duration = Duration::from_millis(2_500);

/// Multiple of the route's latency target after which a stream is given up.
const GIVE_UP_LATENCIES: u32 = 5;

/// Multiple of the route's longest pause after which a stream is given up.
const GIVE_UP_GAPS: u32 = 10;

/// Pause between two checks whether a silent stream may resume now.
const RECHECK_PAUSE: Duration = Duration::from_millis(200);

/// A stream sends bytes without end that are no events.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum EventlessError {
    /// more than 64 KiB came without an event
    TooLong,
}

impl std::error::Error for EventlessError {}

/// What to do with a stream that sends no events at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StallStep {
    /// End the stream.
    GiveUp,
    /// Resume the stream at another replica.
    Resume,
    /// Wait for the next event, at most this time.
    Wait(Duration),
}

/// Watches a stream for pauses, whether its replica sends nothing or bytes that are no events.
///
/// A replica behind a network partition, or a faulty one, keeps its connection open without an
/// end. A stream that may be resumed moves to another replica soon; any other is given up when
/// its caller can't be waiting any more.
#[derive(Clone, Copy, Debug)]
pub struct StreamWatch {
    eventless_bytes: usize,
    give_up_after: Duration,
    last_event: MonotonicInstant,
    resume_after: Option<Duration>,
}

impl StreamWatch {
    /// Starts to watch a stream of `route`.
    #[must_use]
    pub fn new(route: &RouteEntry, now: MonotonicInstant) -> Self {
        let is_resumable = route.repeat == RepeatRule::Resumable;
        let gap = route.gap_target;
        Self {
            eventless_bytes: 0,
            give_up_after: GIVE_UP_MIN
                .max(route.latency_target * GIVE_UP_LATENCIES)
                .max(gap * GIVE_UP_GAPS),
            last_event: now,
            resume_after: is_resumable.then(|| RESUME_PAUSE_MIN.max(gap * RESUME_GAPS)),
        }
    }

    /// Records bytes that completed no event.
    ///
    /// # Errors
    ///
    /// Returns an error if too many bytes came since the last event.
    pub fn record_bytes(&mut self, len: usize) -> Result<(), EventlessError> {
        self.eventless_bytes += len;
        if self.eventless_bytes > EVENTLESS_BYTES_MAX {
            return Err(EventlessError::TooLong);
        }
        Ok(())
    }

    /// Records that an event was passed to the caller at `now`.
    pub fn record_event(&mut self, now: MonotonicInstant) {
        self.eventless_bytes = 0;
        self.last_event = now;
    }

    /// Decides what follows at `now`; `may_resume` is asked only when the pause is long enough.
    pub fn step(&self, now: MonotonicInstant, may_resume: impl FnOnce() -> bool) -> StallStep {
        let pause = now.since(self.last_event);
        if pause >= self.give_up_after {
            return StallStep::GiveUp;
        }
        let rest = self.give_up_after.saturating_sub(pause);
        match self.resume_after {
            Some(limit) if pause < limit => StallStep::Wait(limit.saturating_sub(pause)),
            Some(_) if may_resume() => StallStep::Resume,
            Some(_) => StallStep::Wait(RECHECK_PAUSE.min(rest)),
            None => StallStep::Wait(rest),
        }
    }
}
