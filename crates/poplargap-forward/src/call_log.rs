//! The line that a request leaves in the log.

use {
    crate::{
        call_stage::{AdmittedCall, PlacementRecord},
        front_metrics::FrontMetrics,
    },
    slog::{Logger, info},
    std::{sync::Arc, time::Duration},
    strum::IntoStaticStr,
    tokio::time::Instant,
};

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum CallEnd {
    /// The replica's answer was handed over whole.
    Answered,
    /// The stream broke off and wasn't brought to its end.
    BrokenOff,
    /// The caller left.
    CallerGone,
    /// The request may have run; its answer is lost.
    Lost,
    /// The request didn't run.
    Refused,
    /// The time was over.
    TimedOut,
}

/// Gathers what the log tells of one request; writes its line when dropped.
#[derive(Debug)]
pub(crate) struct CallLog {
    received_at: Instant,
    end: CallEnd,
    first_byte: Option<Duration>,
    id: String,
    log: Logger,
    metrics: FrontMetrics,
    place: Option<PlacementRecord>,
    priority: u8,
    reason: &'static str,
    resumes: u32,
    route: Arc<str>,
    routes_version: u64,
    sends: u32,
    service: Arc<str>,
    status: u16,
    workspace: Option<Arc<str>>,
}

impl CallLog {
    /// Starts the line of a request; one that is dropped unsettled was left by its caller.
    pub(crate) fn new(call: &AdmittedCall, log: &Logger, metrics: &FrontMetrics) -> Self {
        let workspace = call.grant.workspace.as_ref();
        Self {
            received_at: call.call.received_at,
            end: CallEnd::CallerGone,
            first_byte: None,
            id: call.call.head.id.clone(),
            log: log.clone(),
            metrics: metrics.clone(),
            place: None,
            priority: call.priority(),
            reason: "",
            resumes: 0,
            route: Arc::clone(&call.grant.route.name),
            routes_version: call.routes_version,
            sends: 0,
            service: Arc::clone(&call.service),
            status: 0,
            workspace: workspace.map(|workspace| Arc::clone(&workspace.name)),
        }
    }

    /// Notes where the request goes.
    pub(crate) fn placed(&mut self, note: PlacementRecord) {
        self.sends += 1;
        self.place = Some(note);
    }

    /// Notes the first byte of the replica's answer.
    pub(crate) fn answered(&mut self, status: u16) {
        self.status = status;
        self.first_byte.get_or_insert(self.received_at.elapsed());
    }

    /// Notes that a stream goes on at another replica.
    pub(crate) fn resumed(&mut self) {
        self.resumes += 1;
    }

    /// Notes how the request ended, and why.
    pub(crate) fn finish(&mut self, end: CallEnd, reason: &'static str) {
        self.end = end;
        self.reason = reason;
    }

    /// Notes the status of the daemon's own answer.
    pub(crate) fn own_status(&mut self, status: u16) {
        self.status = status;
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        let outcome: &'static str = self.end.into();
        let total = self.received_at.elapsed();
        self.metrics.record_call(
            &self.service,
            outcome,
            self.workspace.as_deref(),
            self.first_byte,
            total,
        );
        let place = self.place.as_ref();
        info!(self.log, "request settled";
            "request" => &self.id,
            "outcome" => outcome,
            "reason" => self.reason,
            "status" => self.status,
            "route" => self.route.as_ref(),
            "routes-version" => self.routes_version,
            "service" => self.service.as_ref(),
            "workspace" => self.workspace.as_deref(),
            "priority" => self.priority,
            "replica" => place.map(|place| place.replica.as_ref()),
            "own-in-flight" => place.map(|place| place.in_flight),
            "estimated" => place.map(|place| place.requests.round() as i64),
            "mean" => place.map(|place| place.mean.round() as i64),
            "candidates" => place.map(|place| place.candidates),
            "placed-by" => place.map(|place| <&str>::from(place.placed_by)),
            "rank" => place.and_then(|place| place.rank),
            "load-age-ms" => place.and_then(|place| place.report_age).map(millis),
            "load-from" => place.and_then(|place| place.report_source).map(<&str>::from),
            "sends" => self.sends,
            "resumes" => self.resumes,
            "first-byte-ms" => self.first_byte.map(millis),
            "total-ms" => millis(total));
    }
}

/// Returns whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
