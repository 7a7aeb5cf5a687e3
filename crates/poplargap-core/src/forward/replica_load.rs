use {
    super::{
        IntakeState, PaceEstimate, ReplicaEntry, ReplicaIntake, ReplicaPace, replica_pace::decay,
    },
    crate::instant::MonotonicInstant,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    strum::IntoStaticStr,
};

/// Age at which a replica's load report has no weight any more.
///
/// It is long, since prompts stay at their replicas and so do the replicas' shares of the load.
const REPORT_TTL: Duration = Duration::from_secs(15);

/// Time in which a report loses most of its weight where requests take much less than a second.
const RECENT_DECAY: Duration = Duration::from_millis(300);

/// Duration of the first ejection of a replica; each further one takes twice as long.
const EJECTION_MIN: Duration = Duration::from_millis(500);

/// Longest duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// A replica's load report: its own count of the requests of all daemons.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// How long the replica's work takes, if it states that.
    pub pace: Option<ReplicaPace>,
    /// Requests that the replica processes.
    pub running: u32,
    /// Requests that are queued at the replica.
    pub waiting: u32,
}

/// How a daemon received a replica's load report.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum ReportSource {
    /// With a reply to this daemon's own request.
    Own,
    /// In a digest from another daemon.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct KnownReport {
    at: MonotonicInstant,
    peer_requests: u32,
    source: ReportSource,
}

/// One replica's load and health as a daemon sees them.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLoad {
    pub(super) started_ms: u64,
    pub(super) ejected_until: MonotonicInstant,
    pub(super) ejections: u32,
    pub(super) failure_ratio: f64,
    pub(super) failures: u32,
    pub(super) in_flight: u32,
    pub(super) intake: ReplicaIntake,
    pace: Option<PaceEstimate>,
    report: Option<KnownReport>,
    pub(super) mismatch_until: MonotonicInstant,
}

impl ReplicaLoad {
    /// Returns whether the replica, as it is registered now, may be sent new requests.
    pub(super) fn intake_state(
        &self,
        replica: &ReplicaEntry,
        drain: Duration,
        now: MonotonicInstant,
    ) -> IntakeState {
        let intake = if replica.started_ms == self.started_ms {
            self.intake
        } else {
            self.intake.restarted()
        };
        intake.state(drain, now)
    }

    /// Returns the number of this daemon's own requests at the replica.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of other daemons' requests as of the last report.
    #[must_use]
    pub fn peer_requests(&self) -> Option<u32> {
        self.report.map(|report| report.peer_requests)
    }

    /// Returns the weight of the last report, which falls linearly with its age from 1 to 0.
    #[must_use]
    pub fn report_weight(&self, now: MonotonicInstant) -> f64 {
        let age = self.report_age(now).unwrap_or(REPORT_TTL);
        (1.0 - age.as_secs_f64() / REPORT_TTL.as_secs_f64()).max(0.0)
    }

    /// Returns the weight of the last report where requests take much less than a second.
    #[must_use]
    pub fn recent_weight(&self, now: MonotonicInstant) -> f64 {
        self.report_age(now)
            .map_or(0.0, |age| decay(age, RECENT_DECAY))
    }

    /// Returns the replica's pace, if it has stated one.
    #[must_use]
    pub fn pace(&self) -> Option<&PaceEstimate> {
        self.pace.as_ref()
    }

    /// Returns the age of the last report.
    #[must_use]
    pub fn report_age(&self, now: MonotonicInstant) -> Option<Duration> {
        self.report.map(|report| now.since(report.at))
    }

    /// Returns how the last report was received.
    #[must_use]
    pub fn report_source(&self) -> Option<ReportSource> {
        self.report.map(|report| report.source)
    }

    /// Returns the moving average of failed requests, between 0 and 1.
    #[must_use]
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Returns whether the replica is ejected and gets no requests at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: MonotonicInstant) -> bool {
        self.ejected_until > now
    }

    /// Returns whether the replica recently answered with the reply to another request.
    #[must_use]
    pub fn has_recent_mismatch(&self, now: MonotonicInstant) -> bool {
        self.mismatch_until > now
    }

    /// Stores a report that was made at `at`, unless a newer one is known.
    pub(super) fn record_report(
        &mut self,
        report: LoadReport,
        source: ReportSource,
        at: MonotonicInstant,
    ) {
        if self.report.is_some_and(|known| known.at > at) {
            return;
        }
        if let Some(pace) = report.pace {
            let known = self.pace.take();
            let updated = known.map_or_else(
                || PaceEstimate::new(pace, at),
                |known| known.updated(pace, at),
            );
            self.pace = Some(updated);
        }
        let total = report.running.saturating_add(report.waiting);
        self.report = Some(KnownReport {
            at,
            peer_requests: total.saturating_sub(self.in_flight),
            source,
        });
    }

    /// Returns the state for a restarted replica, which keeps only this daemon's open requests.
    pub(super) fn restarted(&self, started_ms: u64) -> Self {
        Self {
            started_ms,
            in_flight: self.in_flight,
            intake: self.intake.restarted(),
            ..Self::default()
        }
    }

    pub(super) fn eject(&mut self, now: MonotonicInstant) {
        let duration = EJECTION_MIN.saturating_mul(1 << self.ejections.min(8));
        self.ejected_until = now + duration.min(EJECTION_MAX);
        self.ejections += 1;
    }
}
