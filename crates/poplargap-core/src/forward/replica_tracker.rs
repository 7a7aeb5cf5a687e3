use {
    super::{
        CachedReplicas, CentreDistances, CentreHealth, ColdGate, ExchangeRule, FleetDemand,
        IntakeState, LeavingReplica, LoadDigest, LoadReport, PendingLeaving, PendingReports,
        PromptRates, ReplicaEntry, ReplicaId, ReplicaLoad, ReportSource, SendOutcome, WorkEstimate,
        cached_replicas::CachedReplica,
    },
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::{sync::Arc, time::Duration},
};

/// Weight of the newest outcome in the moving average of a replica's failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Consecutive failures after which a reachable replica is ejected.
const FAILURES_TO_EJECT: u32 = 4;

/// Consecutive requests without a reply after which a replica is ejected.
const UNANSWERED_TO_EJECT: u32 = 2;

/// Time for which a replica gets no at-most-once requests on reused connections after it sent the
/// reply to another request.
const MISMATCH_PENALTY: Duration = Duration::from_secs(10);

/// Requests for each slot that wait at a replica which refuses one for being full.
const FULL_QUEUE_ROUNDS: u32 = 4;

/// Whether an outcome changed the health of a replica or of its data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HealthChange {
    /// The data centre is now considered unreachable, or no longer.
    pub centre: bool,
    /// The replica is now ejected, or no longer.
    pub replica: bool,
}

/// Loads, health and cached prompts of all replicas, from a daemon's own requests and its peers'
/// reports.
#[derive(Debug, Default)]
pub struct ReplicaTracker {
    centres: HashMap<Arc<str>, CentreHealth>,
    cached_replicas: CachedReplicas,
    cold_gate: ColdGate,
    demand: FleetDemand,
    distances: CentreDistances,
    exchange: ExchangeRule,
    loads: HashMap<ReplicaId, ReplicaLoad>,
    pending_leaving: PendingLeaving,
    pending_reports: PendingReports,
    prompts: PromptRates,
    work: HashMap<Arc<str>, WorkEstimate>,
}

impl ReplicaTracker {
    /// Returns a replica's load and health; `None` if nothing is known of it.
    #[must_use]
    pub fn load(&self, id: &str) -> Option<&ReplicaLoad> {
        self.loads.get(id)
    }

    /// Returns the limits of this daemon's requests to cold replicas.
    #[must_use]
    pub fn cold_gate(&self) -> &ColdGate {
        &self.cold_gate
    }

    /// Returns the limits of this daemon's requests to cold replicas, to record requests.
    pub fn cold_gate_mut(&mut self) -> &mut ColdGate {
        &mut self.cold_gate
    }

    /// Returns the ways to the data centres.
    #[must_use]
    pub fn distances(&self) -> &CentreDistances {
        &self.distances
    }

    /// Returns the ways to the data centres, to record connections.
    pub fn distances_mut(&mut self) -> &mut CentreDistances {
        &mut self.distances
    }

    /// Returns the estimated time of a service's requests at an idle replica.
    #[must_use]
    pub fn work_time(&self, service: &str) -> Duration {
        let work = self.work.get(service).copied();
        work.unwrap_or_default().time()
    }

    /// Records that a request of a service was answered after `time`, where the replica's pace and
    /// its queue were expected to make the work `factor` times as long.
    pub fn record_work(&mut self, service: &Arc<str>, time: Duration, factor: f64) {
        let work = self.work.entry(Arc::clone(service)).or_default();
        work.record(time, factor);
    }

    /// Records that a replica which states its pace was full when it got a request, and didn't report
    /// its load.
    pub fn record_full(&mut self, replica: &ReplicaEntry, now: MonotonicInstant) {
        let report = LoadReport {
            running: replica.slots,
            waiting: replica.slots.saturating_mul(FULL_QUEUE_ROUNDS),
            ..LoadReport::default()
        };
        let load = self.load_mut(replica);
        if load.pace().is_some() {
            load.record_report(report, ReportSource::Own, now);
        }
    }

    /// Returns the requests for services at all daemons.
    pub fn demand_mut(&mut self) -> &mut FleetDemand {
        &mut self.demand
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

    /// Returns whether `replica` probably still has the prompt `key` in its cache.
    #[must_use]
    pub fn is_cached(&self, key: u64, replica: &ReplicaEntry, now: MonotonicInstant) -> bool {
        self.cached_replicas.is_cached(key, replica, now)
    }

    /// Returns the replicas that probably still have the prompt `key` in their caches.
    pub(super) fn holders(
        &self,
        key: u64,
        now: MonotonicInstant,
    ) -> impl Iterator<Item = &CachedReplica> {
        self.cached_replicas.holders(key, now)
    }

    /// Returns the share of the prompt `key` among this daemon's recent requests, from 0 to 1.
    #[must_use]
    pub fn prompt_share(&self, key: u64) -> f64 {
        self.prompts.share(key)
    }

    /// Counts a request that goes to `replica` at `now`.
    pub fn begin(&mut self, replica: &ReplicaEntry, now: MonotonicInstant) {
        if let Some(centre) = self.centres.get_mut(&replica.data_centre) {
            centre.record_send(now);
        }
        self.load_mut(replica).in_flight += 1;
    }

    /// Returns the load of `replica`; a restart resets it.
    fn load_mut(&mut self, replica: &ReplicaEntry) -> &mut ReplicaLoad {
        let load = self.loads.entry(Arc::clone(&replica.id)).or_default();
        if load.started_ms != replica.started_ms {
            *load = load.restarted(replica.started_ms);
        }
        load
    }

    /// Ends a request that [`begin`](Self::begin) counted.
    pub fn end(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Records a replica's load report and keeps it for the next digest.
    pub fn record_report(
        &mut self,
        replica: &ReplicaEntry,
        report: LoadReport,
        now: MonotonicInstant,
    ) {
        self.record_exchange(replica, report, now);
        let load = self.load_mut(replica);
        load.record_report(report, ReportSource::Own, now);
        self.pending_reports
            .record(Arc::clone(&replica.id), report, now);
    }

    /// Records a load report that a peer received at `at`.
    pub fn record_peer_report(
        &mut self,
        replica: &ReplicaEntry,
        report: LoadReport,
        at: MonotonicInstant,
    ) {
        self.record_exchange(replica, report, at);
        let load = self.load_mut(replica);
        load.record_report(report, ReportSource::Peer, at);
    }

    /// Records a report for the pause between exchanges, if it is of a replica without prompts that
    /// states its pace.
    fn record_exchange(
        &mut self,
        replica: &ReplicaEntry,
        report: LoadReport,
        at: MonotonicInstant,
    ) {
        if report.pace.is_some() && self.work.contains_key(&replica.service) {
            self.exchange.record(report.waiting, at);
        }
    }

    /// Returns the pause until the next exchange of load reports with the peers.
    #[must_use]
    pub fn exchange_pause(&self, now: MonotonicInstant) -> Duration {
        self.exchange.pause(now)
    }

    /// Returns the digest for the peers: what is new since the previous one.
    pub fn take_digest(&mut self, now: MonotonicInstant) -> LoadDigest {
        LoadDigest {
            demands: self.demand.own(now),
            prefix_replicas: self.cached_replicas.take_unsent(),
            reports: self.pending_reports.take(now),
        }
    }

    /// Records that a replica is leaving, for this daemon and for its peers; returns whether that is
    /// new.
    pub fn record_leaving(&mut self, replica: &ReplicaEntry, now: MonotonicInstant) -> bool {
        let is_new = self.load_mut(replica).intake.record_leaving(now);
        if is_new {
            self.pending_leaving.record(replica);
        }
        is_new
    }

    /// Returns whether a replica, as it is registered now, has said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, replica: &ReplicaEntry) -> bool {
        let load = self.loads.get(&replica.id);
        load.is_some_and(|load| load.started_ms == replica.started_ms && load.intake.is_leaving())
    }

    /// Records that a replica wants no requests for `time`; returns the time that is kept.
    pub fn record_refusal(
        &mut self,
        replica: &ReplicaEntry,
        time: Duration,
        now: MonotonicInstant,
    ) -> Duration {
        self.load_mut(replica).intake.record_refusal(time, now)
    }

    /// Returns the leaving replicas for one round of messages to the peers.
    pub fn take_leaving(&mut self) -> Vec<LeavingReplica> {
        self.pending_leaving.take()
    }

    /// Returns the time until one of the replicas takes requests again, if all refuse them for a time
    /// or are leaving.
    #[must_use]
    pub fn refusal_time(
        &self,
        replicas: &[Arc<ReplicaEntry>],
        drain: Duration,
        now: MonotonicInstant,
    ) -> Option<Duration> {
        let mut shortest = None;
        for replica in replicas {
            let load = self.loads.get(&replica.id)?;
            match load.intake_state(replica, drain, now) {
                IntakeState::Open | IntakeState::LastResort => return None,
                IntakeState::Closed => {}
                IntakeState::Refusing(left) => {
                    shortest = Some(shortest.map_or(left, |time: Duration| time.min(left)));
                }
            }
        }
        shortest
    }

    /// Returns the data centres that are unreachable at `now`.
    pub(super) fn unreachable_centres(&self, now: MonotonicInstant) -> Vec<&str> {
        let centres = self.centres.iter();
        centres
            .filter(|(_, health)| health.is_unreachable(now))
            .map(|(centre, _)| centre.as_ref())
            .collect()
    }

    /// Returns whether a replica is ejected or its data centre unreachable at `now`.
    #[must_use]
    pub fn is_unavailable(&self, replica: &ReplicaEntry, now: MonotonicInstant) -> bool {
        let load = self.loads.get(&replica.id);
        let centre = self.centres.get(&replica.data_centre);
        load.is_some_and(|load| load.is_ejected(now))
            || centre.is_some_and(|centre| centre.is_unreachable(now))
    }

    /// Returns whether the last that is known of a replica or of its data centre is a failure.
    #[must_use]
    pub fn is_doubtful(&self, replica: &ReplicaEntry) -> bool {
        let load = self.loads.get(&replica.id);
        let centre = self.centres.get(&replica.data_centre);
        load.is_some_and(|load| load.failures > 0) || centre.is_some_and(CentreHealth::is_suspect)
    }

    /// Records a valid reply of a replica.
    pub fn record_success(&mut self, replica: &ReplicaEntry) -> HealthChange {
        let centre = self.centres.get_mut(&replica.data_centre);
        let centre = centre.is_some_and(CentreHealth::record_answer);
        let Some(load) = self.loads.get_mut(&replica.id) else {
            return HealthChange {
                centre,
                replica: false,
            };
        };
        let was_unhealthy = load.ejections > 0;
        load.failures = 0;
        load.ejections = 0;
        load.ejected_until = MonotonicInstant::default();
        load.failure_ratio *= 1.0 - FAILURE_WEIGHT;
        HealthChange {
            centre,
            replica: was_unhealthy,
        }
    }

    /// Records that a replica sent the reply to another request.
    pub fn record_mismatch(&mut self, id: &str, now: MonotonicInstant) {
        if let Some(load) = self.loads.get_mut(id) {
            load.mismatch_until = now + MISMATCH_PENALTY;
        }
    }

    /// Records a failed attempt; ejects the replica if it was unreachable or failed repeatedly.
    pub fn record_failure(
        &mut self,
        replica: &ReplicaEntry,
        outcome: SendOutcome,
        now: MonotonicInstant,
    ) -> HealthChange {
        if outcome == SendOutcome::Withdrawn {
            return HealthChange::default();
        }
        let centre = outcome == SendOutcome::Unreachable && {
            let centre = Arc::clone(&replica.data_centre);
            let health = self.centres.entry(centre).or_default();
            health.record_unreachable(&replica.id, now)
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
        let failures_max = match outcome {
            SendOutcome::Broken | SendOutcome::Silent => UNANSWERED_TO_EJECT,
            _ => FAILURES_TO_EJECT,
        };
        let ejects = unreachable || load.failures >= failures_max;
        let newly_ejected = ejects && !load.is_ejected(now);
        if newly_ejected {
            load.eject(now);
        }
        HealthChange {
            centre,
            replica: newly_ejected,
        }
    }

    /// Removes expired cached prompts, and the replicas that have no open requests, for which `keep`
    /// returns `false` and whose statements about new requests have ended.
    ///
    /// A registration may lapse while the replica lives, and come back.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool, now: MonotonicInstant) {
        self.cached_replicas.expire(now);
        self.cold_gate.expire(now);
        self.loads
            .retain(|id, load| load.in_flight > 0 || keep(id) || load.intake.is_in_force(now));
    }
}
