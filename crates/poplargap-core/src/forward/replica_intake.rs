use {crate::instant::MonotonicInstant, std::time::Duration};

/// Longest time for which a replica's refusal is kept, whatever time the replica gives.
const REFUSAL_MAX: Duration = Duration::from_mins(10);

/// Time for which a leaving replica is remembered while it isn't registered.
const LEAVING_MAX: Duration = Duration::from_mins(10);

/// Part of the drain time in which a leaving replica may serve a service that has no other one.
const LAST_RESORT_SHARE: f64 = 0.5;

/// Whether a replica may be sent new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeState {
    /// It may.
    Open,
    /// The replica is leaving; it may be sent a request only if no other replica is left.
    LastResort,
    /// The replica is leaving.
    Closed,
    /// The replica refuses requests for this time.
    Refusing(Duration),
}

/// What a replica said in its answers about new requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaIntake {
    leaving_since: Option<MonotonicInstant>,
    refuses_until: MonotonicInstant,
}

impl ReplicaIntake {
    /// Records that the replica is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, now: MonotonicInstant) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Returns whether the replica has said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Records that the replica wants no requests for `time`; returns the time that is kept.
    pub fn record_refusal(&mut self, time: Duration, now: MonotonicInstant) -> Duration {
        let time = time.min(REFUSAL_MAX);
        self.refuses_until = self.refuses_until.max(now + time);
        time
    }

    /// Returns whether what the replica said still matters if it is registered again.
    #[must_use]
    pub fn is_in_force(&self, now: MonotonicInstant) -> bool {
        let is_leaving = |since| now.since(since) < LEAVING_MAX;
        self.refuses_until > now || self.leaving_since.is_some_and(is_leaving)
    }

    /// Returns the intake of the same replica after a restart, which ends its leaving.
    #[must_use]
    pub fn restarted(self) -> Self {
        Self {
            leaving_since: None,
            ..self
        }
    }

    /// Returns whether the replica may be sent new requests; `drain` is the time for which a leaving
    /// replica serves.
    #[must_use]
    pub fn state(&self, drain: Duration, now: MonotonicInstant) -> IntakeState {
        if self.refuses_until > now {
            return IntakeState::Refusing(self.refuses_until.since(now));
        }
        match self.leaving_since {
            None => IntakeState::Open,
            Some(since) if now.since(since) < drain.mul_f64(LAST_RESORT_SHARE) => {
                IntakeState::LastResort
            }
            Some(_) => IntakeState::Closed,
        }
    }
}
