use {crate::instant::MonotonicInstant, std::time::Duration};

/// Time in which a measured lag loses half of its weight.
const HALF_LIFE: Duration = Duration::from_millis(400);

/// Part of a request's time that a daemon's lag may take; a request passes the daemon's loop several
/// times on its way there and back.
const LAG_PARTS: u32 = 4;

/// Lag from which on no request is taken. What the daemon reads of replicas that leave passes its loop
/// and that of its reader some five times, as a request does on its way: a lag of half a second is
/// the three seconds in which a leaving replica serves.
const LAG_MAX: Duration = Duration::from_millis(500);

/// How far a daemon's loop is behind, from the delays of its own timers.
///
/// A daemon without processor time left doesn't see that its requests wait. The greatest recent delay
/// counts, and fades. A single late timer doesn't count once it has fired: a daemon that was frozen is
/// fast again. Until it fires, what is overdue counts: a request that is read right after the daemon
/// stood still has waited for as long, and so has what the daemon is to read of its replicas.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLag {
    at: MonotonicInstant,
    lag: Duration,
    last_delay: Duration,
}

impl LoopLag {
    /// Pause between two measurements.
    pub const PAUSE: Duration = Duration::from_millis(100);

    /// Records that a timer fired `delay` late.
    pub fn record(&mut self, delay: Duration, now: MonotonicInstant) {
        let lasting = delay.min(self.last_delay);
        self.last_delay = delay;
        self.lag = self.faded(now).max(lasting);
        self.at = now;
    }

    /// Returns the lag at `now`.
    #[must_use]
    pub fn current(&self, now: MonotonicInstant) -> Duration {
        let overdue = now.since(self.at).saturating_sub(Self::PAUSE);
        self.faded(now).max(overdue)
    }

    fn faded(&self, now: MonotonicInstant) -> Duration {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.lag.mul_f64(0.5_f64.powf(half_lives))
    }

    /// Returns the time that a caller has left, of which `time` was left when its request was sent: the
    /// request waited for about the lag before it was read.
    #[must_use]
    pub fn time_left(&self, time: Duration, now: MonotonicInstant) -> Duration {
        time.saturating_sub(self.current(now))
    }

    /// Returns whether the daemon is too far behind to take a request whose caller waits for
    /// `time_left`.
    ///
    /// Urgent requests mostly have the least time, but are worth most; they are taken up to twice the
    /// lag of the least urgent ones. `priority` is 0 for the most urgent.
    #[must_use]
    pub fn is_too_late(&self, time_left: Duration, priority: u8, now: MonotonicInstant) -> bool {
        let lag = self.current(now);
        let parts = if priority == 0 {
            LAG_PARTS / 2
        } else {
            LAG_PARTS
        };
        lag >= LAG_MAX || lag * parts >= time_left
    }
}
