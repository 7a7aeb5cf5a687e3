use {
    super::{LoadReport, PrefixReplica, ReplicaId},
    crate::{collections::HashMap, instant::MonotonicInstant},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Most reports of one digest.
const DIGEST_REPORTS_MAX: usize = 48;

/// Oldest report that is still told.
const REPORT_AGE_MAX: Duration = Duration::from_secs(2);

/// One replica's report, as one daemon tells it to the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeerReport {
    /// Age of the report in milliseconds when it was told.
    pub age_ms: u32,
    /// The replica.
    pub replica: ReplicaId,
    /// Its load, all daemons' requests counted.
    pub report: LoadReport,
}

/// What a daemon tells the others at once.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadDigest {
    /// Replicas that have cached prompt prefixes.
    #[serde(rename = "homes")]
    pub prefix_replicas: Vec<PrefixReplica>,
    /// One report for each replica.
    pub reports: Vec<PeerReport>,
}

impl LoadDigest {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefix_replicas.is_empty() && self.reports.is_empty()
    }
}

/// The newest report of each replica that the other daemons haven't been told.
#[derive(Debug, Default)]
pub struct PendingReports {
    reports: HashMap<ReplicaId, (LoadReport, MonotonicInstant)>,
}

impl PendingReports {
    /// Keeps a report; an older one of the same replica is dropped.
    pub fn record(&mut self, replica: ReplicaId, report: LoadReport, now: MonotonicInstant) {
        let is_known = self.reports.contains_key(&replica);
        if is_known || self.reports.len() < DIGEST_REPORTS_MAX {
            self.reports.insert(replica, (report, now));
        }
    }

    /// Takes out what is still new enough to be told.
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
