use std::time::Duration;

/// Age of the process up to which its first read of the routes is expected to succeed soon.
const COLD_START_MAX: Duration = Duration::from_secs(3);

/// Longest time for which a request is held.
const HOLD_MAX: Duration = Duration::from_secs(1);

/// Most requests that are held at the same time.
const HELD_MAX: usize = 512;

/// Divisor of a request's time left that gives the longest hold.
const HOLD_PARTS: u32 = 2;

/// The state of a daemon without routes that receives a request.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Number of requests that are held already.
    pub held: usize,
    /// Time since the start of the process.
    pub process_age: Duration,
    /// Time until the request's deadline.
    pub time_left: Duration,
}

/// Returns how long a request is held until the routes are read; `None` to refuse it at once.
///
/// When all daemons lose power together, their callers return as soon as the processes run,
/// while every daemon still reads its routes, which takes most of a second over a slow link. A
/// refusal would use up the caller's retry at a daemon that isn't ready either. Where the routes
/// are late, the store is probably unreachable, and a request is refused at once.
#[must_use]
pub fn hold_time(start: ColdStart) -> Option<Duration> {
    let is_starting = start.process_age < COLD_START_MAX && start.held < HELD_MAX;
    is_starting.then(|| HOLD_MAX.min(start.time_left / HOLD_PARTS))
}
