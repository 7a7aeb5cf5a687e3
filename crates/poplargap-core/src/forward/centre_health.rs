use {
    super::ReplicaId,
    crate::{collections::HashSet, instant::MonotonicInstant},
    std::{sync::Arc, time::Duration},
};

/// Replicas that must be out of reach before their data centre is thought to be cut off.
const REPLICAS_MIN: usize = 2;

/// Time within which they must have been found out of reach.
const SUSPICION_SPAN: Duration = Duration::from_secs(2);

/// Time for which a data centre that is cut off gets no requests, between two tries.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(800);

/// Judges whether a data centre is cut off, from connections that don't open.
///
/// In a cut every replica behind it costs a request the time to open a connection. A second
/// silent replica with no answer in between speaks for the cut, so the rest is spared.
#[derive(Clone, Debug, Default)]
pub struct CentreHealth {
    unreachable_until: Option<MonotonicInstant>,
    last: MonotonicInstant,
    unreachable_replicas: HashSet<ReplicaId>,
}

impl CentreHealth {
    /// Records that a connection to a replica didn't open; returns whether the data centre is
    /// thought to be cut off from now on.
    pub fn record_unreachable(&mut self, id: &ReplicaId, now: MonotonicInstant) -> bool {
        if now.since(self.last) > SUSPICION_SPAN {
            self.unreachable_replicas.clear();
        }
        self.last = now;
        self.unreachable_replicas.insert(Arc::clone(id));
        if self.unreachable_replicas.len() < REPLICAS_MIN {
            return false;
        }
        let newly_unreachable = self.unreachable_until.is_none();
        self.unreachable_until = Some(now + UNREACHABLE_PAUSE);
        newly_unreachable
    }

    /// Records an answer; returns whether the data centre was thought to be cut off.
    pub fn record_answer(&mut self) -> bool {
        self.unreachable_replicas.clear();
        self.unreachable_until.take().is_some()
    }

    /// Returns whether the data centre gets no requests now.
    #[must_use]
    pub fn is_unreachable(&self, now: MonotonicInstant) -> bool {
        self.unreachable_until.is_some_and(|until| until > now)
    }
}
