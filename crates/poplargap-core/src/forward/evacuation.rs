use {
    super::rendezvous,
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::{sync::Arc, time::Duration},
    strum::IntoStaticStr,
};

/// Divisor of the time in which an evacuation must take effect that gives the time over which the
/// load moves to the other data centres.
const MOVE_PARTS: u32 = 5;

/// A change of the evacuated data centres.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum EvacuationChange {
    /// The data centre is to get no new requests.
    Begun,
    /// The data centre may get requests again.
    Ended,
}

#[derive(Clone, Copy, Debug)]
enum CentreState {
    Evacuated {
        at: MonotonicInstant,
        full_at: MonotonicInstant,
    },
    Returned {
        at: MonotonicInstant,
    },
}

/// The data centres whose replicas get no new requests, as operators asked for it.
#[derive(Clone, Debug, Default)]
pub struct EvacuationView {
    centres: HashMap<Arc<str>, CentreState>,
}

impl EvacuationView {
    /// Begins the evacuation of a data centre; returns whether that is new.
    ///
    /// `limit` is the time in which an evacuation must take effect. The load moves in a part of it,
    /// so that the other data centres don't get all prompts at once, which they have to prefill.
    /// A `limit` of zero moves all of it at once, as for a daemon that doesn't know the start.
    pub fn begin(&mut self, centre: &str, now: MonotonicInstant, limit: Duration) -> bool {
        if self.is_evacuated(centre) {
            return false;
        }
        let full_at = now + limit / MOVE_PARTS;
        let state = CentreState::Evacuated { at: now, full_at };
        self.centres.insert(centre.into(), state);
        true
    }

    /// Ends the evacuation of a data centre; returns whether there was one.
    pub fn end(&mut self, centre: &str, now: MonotonicInstant) -> bool {
        let is_evacuated = self.is_evacuated(centre);
        if is_evacuated {
            let state = CentreState::Returned { at: now };
            self.centres.insert(centre.into(), state);
        }
        is_evacuated
    }

    /// Replaces all evacuations by those of a listing; returns the changes.
    pub fn replace(
        &mut self,
        centres: &[&str],
        now: MonotonicInstant,
    ) -> Vec<(Arc<str>, EvacuationChange)> {
        let mut changes = Vec::new();
        for centre in centres {
            if self.begin(centre, now, Duration::ZERO) {
                changes.push((Arc::from(*centre), EvacuationChange::Begun));
            }
        }
        let ended: Vec<Arc<str>> = self
            .evacuated(now)
            .map(|(centre, _)| centre)
            .filter(|centre| !centres.contains(&centre.as_ref()))
            .cloned()
            .collect();
        for centre in ended {
            self.end(&centre, now);
            changes.push((centre, EvacuationChange::Ended));
        }
        changes
    }

    /// Returns the evacuated data centres and the time since each evacuation was read.
    pub fn evacuated(&self, now: MonotonicInstant) -> impl Iterator<Item = (&Arc<str>, Duration)> {
        self.centres.iter().filter_map(move |(centre, state)| {
            let CentreState::Evacuated { at, .. } = state else {
                return None;
            };
            Some((centre, now.since(*at)))
        })
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, centre: &str) -> bool {
        let state = self.centres.get(centre);
        matches!(state, Some(CentreState::Evacuated { .. }))
    }

    /// Returns whether a request may not be sent to the data centre.
    ///
    /// While the load moves, `point` selects the requests that have moved already; with the key of a
    /// prompt as the point, all daemons move the same prompts.
    #[must_use]
    pub fn closes(&self, centre: &str, point: u64, now: MonotonicInstant) -> bool {
        let Some(CentreState::Evacuated { at, full_at }) = self.centres.get(centre) else {
            return false;
        };
        if now >= *full_at {
            return true;
        }
        let moved = now.since(*at).as_secs_f64() / full_at.since(*at).as_secs_f64();
        let position = rendezvous::score(centre.as_bytes(), point) as f64 / u64::MAX as f64;
        position < moved
    }

    /// Returns whether no request may be sent to the data centre any more.
    #[must_use]
    pub fn is_complete(&self, centre: &str, now: MonotonicInstant) -> bool {
        let state = self.centres.get(centre);
        matches!(state, Some(CentreState::Evacuated { full_at, .. }) if now >= *full_at)
    }

    /// Returns whether the evacuation of a data centre ended less than `time` ago.
    #[must_use]
    pub fn has_returned_within(&self, centre: &str, time: Duration, now: MonotonicInstant) -> bool {
        let state = self.centres.get(centre);
        matches!(state, Some(CentreState::Returned { at }) if now.since(*at) < time)
    }
}
