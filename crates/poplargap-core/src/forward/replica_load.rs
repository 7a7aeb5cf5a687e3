use {
    crate::instant::MonotonicInstant,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    strum::IntoStaticStr,
};

/// Time after which a replica's report of its load says nothing more.
///
/// A prompt's place is lasting, and so is a replica's share of the load.
const REPORT_LIFE: Duration = Duration::from_secs(15);

/// First time without requests after a replica couldn't be reached.
const EJECTION_MIN: Duration = Duration::from_millis(500);

/// Longest time without requests after a replica couldn't be reached.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// A replica's own count of its requests, from all daemons.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// Who brought a replica's report of its load.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum ReportSource {
    /// An answer to this daemon.
    Own,
    /// Another daemon.
    Peer,
}

#[derive(Clone, Copy, Debug)]
struct SeenReport {
    at: MonotonicInstant,
    others: u32,
    source: ReportSource,
}

/// What a daemon knows of one replica's load and health.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLoad {
    pub(super) started_ms: u64,
    pub(super) ejected_until: MonotonicInstant,
    pub(super) ejections: u32,
    pub(super) failure_ratio: f64,
    pub(super) failures: u32,
    pub(super) in_flight: u32,
    report: Option<SeenReport>,
    pub(super) stray_until: MonotonicInstant,
}

impl ReplicaLoad {
    /// Returns this daemon's own requests there.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests of other daemons as of the last report.
    #[must_use]
    pub fn others(&self) -> Option<u32> {
        self.report.map(|report| report.others)
    }

    /// Returns how much the last report is believed, from 1 when new to 0.
    #[must_use]
    pub fn report_weight(&self, now: MonotonicInstant) -> f64 {
        let age = self.report_age(now).unwrap_or(REPORT_LIFE);
        (1.0 - age.as_secs_f64() / REPORT_LIFE.as_secs_f64()).max(0.0)
    }

    /// Returns the age of the last report.
    #[must_use]
    pub fn report_age(&self, now: MonotonicInstant) -> Option<Duration> {
        self.report.map(|report| now.since(report.at))
    }

    /// Returns who brought the last report.
    #[must_use]
    pub fn report_source(&self) -> Option<ReportSource> {
        self.report.map(|report| report.source)
    }

    /// Returns the share of requests that failed lately, between 0 and 1.
    #[must_use]
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Returns whether the replica gets no requests now.
    #[must_use]
    pub fn is_ejected(&self, now: MonotonicInstant) -> bool {
        self.ejected_until > now
    }

    /// Returns whether the replica sent an answer to another request lately.
    #[must_use]
    pub fn is_stray(&self, now: MonotonicInstant) -> bool {
        self.stray_until > now
    }

    /// Takes in a report as of `at`, unless a newer one is known.
    pub(super) fn record_report(
        &mut self,
        report: LoadReport,
        source: ReportSource,
        at: MonotonicInstant,
    ) {
        if self.report.is_some_and(|known| known.at > at) {
            return;
        }
        let total = report.running.saturating_add(report.waiting);
        self.report = Some(SeenReport {
            at,
            others: total.saturating_sub(self.in_flight),
            source,
        });
    }

    /// Returns the load of a replica that started anew, with this daemon's requests there.
    pub(super) fn restarted(&self, started_ms: u64) -> Self {
        Self {
            started_ms,
            in_flight: self.in_flight,
            ..Self::default()
        }
    }

    pub(super) fn eject(&mut self, now: MonotonicInstant) {
        let time = EJECTION_MIN.saturating_mul(1 << self.ejections.min(8));
        self.ejected_until = now + time.min(EJECTION_MAX);
        self.ejections += 1;
    }
}
