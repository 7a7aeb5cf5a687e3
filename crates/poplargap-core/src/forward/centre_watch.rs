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
const CUT_PAUSE: Duration = Duration::from_millis(800);

/// Judges whether a data centre is cut off, from connections that don't open.
///
/// In a cut every replica behind it costs a request the time to open a connection. A second
/// silent replica with no answer in between speaks for the cut, so the rest is spared.
#[derive(Clone, Debug, Default)]
pub struct CentreWatch {
    cut_until: Option<MonotonicInstant>,
    last: MonotonicInstant,
    unreachable: HashSet<ReplicaId>,
}

impl CentreWatch {
    /// Records that a connection to a replica didn't open; returns whether the data centre is
    /// thought to be cut off from now on.
    pub fn record_unreachable(&mut self, id: &ReplicaId, now: MonotonicInstant) -> bool {
        if now.since(self.last) > SUSPICION_SPAN {
            self.unreachable.clear();
        }
        self.last = now;
        self.unreachable.insert(Arc::clone(id));
        if self.unreachable.len() < REPLICAS_MIN {
            return false;
        }
        let news = self.cut_until.is_none();
        self.cut_until = Some(now + CUT_PAUSE);
        news
    }

    /// Records an answer; returns whether the data centre was thought to be cut off.
    pub fn record_answer(&mut self) -> bool {
        self.unreachable.clear();
        self.cut_until.take().is_some()
    }

    /// Returns whether the data centre gets no requests now.
    #[must_use]
    pub fn is_cut(&self, now: MonotonicInstant) -> bool {
        self.cut_until.is_some_and(|until| until > now)
    }
}
