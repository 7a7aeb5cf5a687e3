use {
    super::{
        CachedReplicas, CentreHealth, LoadDigest, LoadReport, PendingReports, PromptRates,
        ReplicaEntry, ReplicaId, ReplicaLoad, ReportSource, SendOutcome,
    },
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::{sync::Arc, time::Duration},
};

/// Weight of the newest outcome in a replica's failure ratio.
const FAILURE_WEIGHT: f64 = 0.15;

/// Failures in a row after which a replica that can be reached is left alone for a while.
const FAILURES_TO_EJECT: u32 = 4;

/// Time for which a replica that sent a stray answer is distrusted.
const STRAY_MEMORY: Duration = Duration::from_secs(10);

/// What an outcome changed in the view of replicas.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HealthChange {
    /// The data centre is thought to be cut off, or no longer.
    pub centre: bool,
    /// The replica is left alone for a while, or no longer.
    pub replica: bool,
}

/// Loads and health of all replicas, from a daemon's own requests.
#[derive(Debug, Default)]
pub struct ReplicaTracker {
    centres: HashMap<Arc<str>, CentreHealth>,
    cached_replicas: CachedReplicas,
    loads: HashMap<ReplicaId, ReplicaLoad>,
    pending_reports: PendingReports,
    prompts: PromptRates,
}

impl ReplicaTracker {
    /// Returns what is known of a replica.
    #[must_use]
    pub fn load(&self, id: &str) -> Option<&ReplicaLoad> {
        self.loads.get(id)
    }

    /// Counts a request for the prompt `key`.
    pub fn record_prompt(&mut self, key: u64, now: MonotonicInstant) {
        self.prompts.record(key, now);
    }

    /// Records that a request for the prompt `key` goes to `replica`.
    pub fn record_cached(&mut self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) {
        self.cached_replicas.record(key, replica, now);
    }

    /// Records a cached prompt that a peer reported.
    pub fn record_peer_cached(&mut self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) {
        self.cached_replicas.record_peer(key, replica, now);
    }

    /// Returns whether `replica` has probably kept the prompt `key`.
    #[must_use]
    pub fn is_cached(&self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) -> bool {
        self.cached_replicas.is_cached(key, replica, now)
    }

    /// Returns the share of the prompt `key` among the requests of the last seconds.
    #[must_use]
    pub fn prompt_share(&self, key: u64) -> f64 {
        self.prompts.share(key)
    }

    /// Counts a request that goes to `replica`.
    pub fn begin(&mut self, replica: &ReplicaEntry) {
        self.load_mut(replica).in_flight += 1;
    }

    /// Returns the load of `replica`; one that started anew has no past.
    fn load_mut(&mut self, replica: &ReplicaEntry) -> &mut ReplicaLoad {
        let load = self.loads.entry(Arc::clone(&replica.id)).or_default();
        if load.started_ms != replica.started_ms {
            *load = load.restarted(replica.started_ms);
        }
        load
    }

    /// Takes back a request that [`begin`](Self::begin) counted.
    pub fn end(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Takes in a replica's report of its load, and keeps it for the other daemons.
    pub fn record_report(
        &mut self,
        replica: &ReplicaEntry,
        report: LoadReport,
        now: MonotonicInstant,
    ) {
        let load = self.load_mut(replica);
        load.record_report(report, ReportSource::Own, now);
        self.pending_reports
            .record(Arc::clone(&replica.id), report, now);
    }

    /// Takes in a report that another daemon got at `at`.
    pub fn record_peer_report(
        &mut self,
        replica: &ReplicaEntry,
        report: LoadReport,
        at: MonotonicInstant,
    ) {
        let load = self.load_mut(replica);
        load.record_report(report, ReportSource::Peer, at);
    }

    /// Returns what is new since the last time, for the other daemons.
    pub fn take_digest(&mut self, now: MonotonicInstant) -> LoadDigest {
        LoadDigest {
            prefix_replicas: self.cached_replicas.take_unsent(),
            reports: self.pending_reports.take(now),
        }
    }

    /// Returns whether a replica gets no requests now, for itself or for its data centre.
    #[must_use]
    pub fn is_avoided(&self, replica: &ReplicaEntry, now: MonotonicInstant) -> bool {
        let load = self.loads.get(&replica.id);
        let centre = self.centres.get(&replica.data_centre);
        load.is_some_and(|load| load.is_ejected(now))
            || centre.is_some_and(|centre| centre.is_unreachable(now))
    }

    /// Takes in that a replica answered properly.
    pub fn record_success(&mut self, replica: &ReplicaEntry) -> HealthChange {
        let centre = self.centres.get_mut(&replica.data_centre);
        let centre = centre.is_some_and(CentreHealth::record_answer);
        let Some(load) = self.loads.get_mut(&replica.id) else {
            return HealthChange {
                centre,
                replica: false,
            };
        };
        let was_ill = load.ejections > 0;
        load.failures = 0;
        load.ejections = 0;
        load.ejected_until = MonotonicInstant::default();
        load.failure_ratio *= 1.0 - FAILURE_WEIGHT;
        HealthChange {
            centre,
            replica: was_ill,
        }
    }

    /// Takes in that a replica sent an answer to another request.
    pub fn record_stray(&mut self, id: &str, now: MonotonicInstant) {
        if let Some(load) = self.loads.get_mut(id) {
            load.stray_until = now + STRAY_MEMORY;
        }
    }

    /// Takes in a failed send.
    pub fn record_failure(
        &mut self,
        replica: &ReplicaEntry,
        outcome: SendOutcome,
        now: MonotonicInstant,
    ) -> HealthChange {
        let centre = outcome == SendOutcome::Unreachable && {
            let centre = Arc::clone(&replica.data_centre);
            let watch = self.centres.entry(centre).or_default();
            watch.record_unreachable(&replica.id, now)
        };
        let Some(load) = self.loads.get_mut(&replica.id) else {
            return HealthChange {
                centre,
                replica: false,
            };
        };
        load.failure_ratio += (1.0 - load.failure_ratio) * FAILURE_WEIGHT;
        load.failures += 1;
        let unreachable = matches!(
            outcome,
            SendOutcome::NotSent | SendOutcome::Unreachable | SendOutcome::WrongReplica
        );
        let ejects = unreachable || load.failures >= FAILURES_TO_EJECT;
        let newly_ejected = ejects && !load.is_ejected(now);
        if newly_ejected {
            load.eject(now);
        }
        HealthChange {
            centre,
            replica: newly_ejected,
        }
    }

    /// Forgets replicas that `keep` doesn't name and that have no requests, and expired cached prompts.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool, now: MonotonicInstant) {
        self.cached_replicas.expire(now);
        self.loads.retain(|id, load| load.in_flight > 0 || keep(id));
    }
}
