use {
    super::ReplicaId,
    crate::{collections::HashSet, instant::MonotonicInstant},
    std::{sync::Arc, time::Duration},
};

/// Number of unreachable replicas at which their data centre is considered unreachable.
const UNREACHABLE_REPLICAS_MIN: usize = 2;

/// Longest time between two failures that count together.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// Time for which an unreachable data centre gets no requests until it is tried again.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(800);

/// Time in which the probe of an unreachable data centre fails or gets a reply.
const PROBE_TIME: Duration = Duration::from_millis(400);

/// Detects an unreachable data centre by connections that time out.
///
/// During a network partition each replica on the other side costs a request a connection
/// timeout. After two replicas in a row without a reply in between, the others are skipped. After a
/// pause, one request at a time probes the data centre, so that the others don't wait for it.
#[derive(Clone, Debug, Default)]
pub struct CentreHealth {
    unreachable_until: Option<MonotonicInstant>,
    last_failure: MonotonicInstant,
    unreachable_replicas: HashSet<ReplicaId>,
}

impl CentreHealth {
    /// Records that a connection to a replica timed out; returns whether the data centre has just
    /// become unreachable.
    pub fn record_unreachable(&mut self, id: &ReplicaId, now: MonotonicInstant) -> bool {
        if now.since(self.last_failure) > FAILURE_WINDOW {
            self.unreachable_replicas.clear();
        }
        self.last_failure = now;
        self.unreachable_replicas.insert(Arc::clone(id));
        if self.unreachable_replicas.len() < UNREACHABLE_REPLICAS_MIN {
            return false;
        }
        let newly_unreachable = self.unreachable_until.is_none();
        self.unreachable_until = Some(now + UNREACHABLE_PAUSE);
        newly_unreachable
    }

    /// Records that a request is sent to the data centre; while it is suspect, others stay away until
    /// the outcome is known.
    pub fn record_send(&mut self, now: MonotonicInstant) {
        if self.is_suspect() {
            self.unreachable_until = self.unreachable_until.max(Some(now + PROBE_TIME));
        }
    }

    /// Records a reply; returns whether the data centre was considered unreachable.
    pub fn record_answer(&mut self) -> bool {
        self.unreachable_replicas.clear();
        self.unreachable_until.take().is_some()
    }

    /// Returns whether the data centre was unreachable and hasn't replied since.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.unreachable_until.is_some()
    }

    /// Returns whether the data centre is considered unreachable at `now`.
    #[must_use]
    pub fn is_unreachable(&self, now: MonotonicInstant) -> bool {
        self.unreachable_until.is_some_and(|until| until > now)
    }
}
