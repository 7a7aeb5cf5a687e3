use {
    super::{LoadReport, PrefixReplica, ReplicaId, ServiceDemand},
    crate::{collections::HashMap, instant::MonotonicInstant},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Most reports of one digest.
const DIGEST_REPORTS_MAX: usize = 48;

/// Age above which a report isn't sent any more.
const REPORT_AGE_MAX: Duration = Duration::from_secs(2);

/// A replica's load report, as one daemon sends it to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeerReport {
    /// Age of the report in milliseconds when it was sent.
    pub age_ms: u32,
    /// The replica that made the report.
    pub replica: ReplicaId,
    /// The replica's load, with the requests of all daemons.
    pub report: LoadReport,
}

/// The reports that a daemon sends to its peers in one message.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadDigest {
    /// The daemon's requests of the services whose replicas state their pace.
    pub demands: Vec<ServiceDemand>,
    /// Replicas that have cached prompt prefixes.
    #[serde(rename = "homes")]
    pub prefix_replicas: Vec<PrefixReplica>,
    /// The newest load report of each replica.
    pub reports: Vec<PeerReport>,
}

impl LoadDigest {
    /// Returns whether there is nothing to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefix_replicas.is_empty() && self.reports.is_empty() && self.demands.is_empty()
    }
}

/// The newest load report of each replica that hasn't been sent to the peers.
#[derive(Debug, Default)]
pub struct PendingReports {
    reports: HashMap<ReplicaId, (LoadReport, MonotonicInstant)>,
}

impl PendingReports {
    /// Adds a report or replaces the replica's older one; when full, reports of further replicas
    /// are dropped.
    pub fn record(&mut self, replica: ReplicaId, report: LoadReport, now: MonotonicInstant) {
        let is_known = self.reports.contains_key(&replica);
        if is_known || self.reports.len() < DIGEST_REPORTS_MAX {
            self.reports.insert(replica, (report, now));
        }
    }

    /// Removes all reports and returns those that are recent enough to be sent.
    pub fn take(&mut self, now: MonotonicInstant) -> Vec<PeerReport> {
        self.reports
            .drain()
            .map(|(replica, (report, at))| (replica, report, now.since(at)))
            .filter(|(_, _, age)| *age <= REPORT_AGE_MAX)
            .map(|(replica, report, age)| PeerReport {
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                replica,
                report,
            })
            .collect()
    }
}
