use {
    super::{CentreWatch, PromptRates, ReplicaEntry, ReplicaId, SendOutcome},
    crate::{collections::HashMap, instant::MonotonicInstant},
    std::{sync::Arc, time::Duration},
};

/// Time after which a replica's report of its load says nothing more.
///
/// A prompt's place is lasting, and so is a replica's share of the load.
const REPORT_LIFE: Duration = Duration::from_secs(15);

/// Weight of the newest outcome in a replica's failure ratio.
const FAILURE_WEIGHT: f64 = 0.15;

/// First time without requests after a replica couldn't be reached.
const EJECTION_MIN: Duration = Duration::from_millis(500);

/// Longest time without requests after a replica couldn't be reached.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// Failures in a row after which a replica that can be reached is left alone for a while.
const FAILURES_TO_EJECT: u32 = 4;

/// Time for which a replica that sent a stray answer is distrusted.
const STRAY_MEMORY: Duration = Duration::from_secs(10);

/// A replica's own count of its requests, from all daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

#[derive(Clone, Copy, Debug)]
struct SeenReport {
    at: MonotonicInstant,
    others: u32,
}

/// What a daemon knows of one replica's load and health.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLoad {
    born_ms: u64,
    ejected_until: MonotonicInstant,
    ejections: u32,
    failure_ratio: f64,
    failures: u32,
    in_flight: u32,
    report: Option<SeenReport>,
    stray_until: MonotonicInstant,
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

    fn eject(&mut self, now: MonotonicInstant) {
        let time = EJECTION_MIN.saturating_mul(1 << self.ejections.min(8));
        self.ejected_until = now + time.min(EJECTION_MAX);
        self.ejections += 1;
    }
}

/// What an outcome changed in the view of replicas.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BookNews {
    /// The data centre is thought to be cut off, or no longer.
    pub centre: bool,
    /// The replica is left alone for a while, or no longer.
    pub replica: bool,
}

/// Loads and health of all replicas, from a daemon's own requests.
#[derive(Debug, Default)]
pub struct ReplicaBook {
    centres: HashMap<Arc<str>, CentreWatch>,
    loads: HashMap<ReplicaId, ReplicaLoad>,
    prompts: PromptRates,
}

impl ReplicaBook {
    /// Returns what is known of a replica.
    #[must_use]
    pub fn load(&self, id: &str) -> Option<&ReplicaLoad> {
        self.loads.get(id)
    }

    /// Counts a request for the prompt `key`.
    pub fn record_prompt(&mut self, key: u64, now: MonotonicInstant) {
        self.prompts.record(key, now);
    }

    /// Returns the share of the prompt `key` among the requests of the last seconds.
    #[must_use]
    pub fn prompt_share(&self, key: u64) -> f64 {
        self.prompts.share(key)
    }

    /// Counts a request that goes to `replica`.
    pub fn begin(&mut self, replica: &ReplicaEntry) {
        let load = self.loads.entry(Arc::clone(&replica.id)).or_default();
        if load.born_ms != replica.born_ms {
            let in_flight = load.in_flight;
            *load = ReplicaLoad {
                born_ms: replica.born_ms,
                in_flight,
                ..ReplicaLoad::default()
            };
        }
        load.in_flight += 1;
    }

    /// Takes back a request that [`begin`](Self::begin) counted.
    pub fn end(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Takes in a replica's report of its load.
    pub fn record_report(&mut self, id: &str, report: LoadReport, now: MonotonicInstant) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        let total = report.running + report.waiting;
        load.report = Some(SeenReport {
            at: now,
            others: total.saturating_sub(load.in_flight),
        });
    }

    /// Returns whether a replica gets no requests now, for itself or for its data centre.
    #[must_use]
    pub fn is_avoided(&self, replica: &ReplicaEntry, now: MonotonicInstant) -> bool {
        let load = self.loads.get(&replica.id);
        let centre = self.centres.get(&replica.data_centre);
        load.is_some_and(|load| load.is_ejected(now))
            || centre.is_some_and(|centre| centre.is_cut(now))
    }

    /// Takes in that a replica answered properly.
    pub fn record_success(&mut self, replica: &ReplicaEntry) -> BookNews {
        let centre = self.centres.get_mut(&replica.data_centre);
        let centre = centre.is_some_and(CentreWatch::record_answer);
        let Some(load) = self.loads.get_mut(&replica.id) else {
            return BookNews {
                centre,
                replica: false,
            };
        };
        let was_ill = load.ejections > 0;
        load.failures = 0;
        load.ejections = 0;
        load.ejected_until = MonotonicInstant::default();
        load.failure_ratio *= 1.0 - FAILURE_WEIGHT;
        BookNews {
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
    ) -> BookNews {
        let centre = outcome == SendOutcome::Unreachable && {
            let centre = Arc::clone(&replica.data_centre);
            let watch = self.centres.entry(centre).or_default();
            watch.record_unreachable(&replica.id, now)
        };
        let Some(load) = self.loads.get_mut(&replica.id) else {
            return BookNews {
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
        let news = ejects && !load.is_ejected(now);
        if news {
            load.eject(now);
        }
        BookNews {
            centre,
            replica: news,
        }
    }

    /// Forgets replicas that `keep` doesn't name and that have no requests.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.loads.retain(|id, load| load.in_flight > 0 || keep(id));
    }
}
