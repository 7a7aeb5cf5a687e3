//! The log line and the metrics of a finished request.

use {
    crate::{
        call_stage::{AdmittedCall, PlacementRecord},
        front_metrics::FrontMetrics,
    },
    poplargap_core::forward::PromptPart,
    slog::{Logger, info},
    std::{fmt, sync::Arc, time::Duration},
    strum::IntoStaticStr,
    tokio::time::Instant,
};

/// Most parts of a prompt in a log line.
const LOGGED_PARTS_MAX: usize = 16;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum CallEnd {
    /// The whole answer was passed to the caller.
    Answered,
    /// The stream broke and couldn't be resumed.
    BrokenOff,
    /// The caller disconnected.
    CallerGone,
    /// The request may have run, but there is no answer.
    Lost,
    /// The request didn't run.
    Refused,
    /// The deadline passed.
    TimedOut,
}

/// Collects the data of one request; writes its log line and updates the metrics when dropped.
#[derive(Debug)]
pub(crate) struct CallLog {
    started_at: Instant,
    end: CallEnd,
    /// Whole events of the current attempt.
    events: u64,
    first_byte: Option<Duration>,
    id: String,
    last_event: Option<Instant>,
    log: Logger,
    longest_pause: Duration,
    metrics: FrontMetrics,
    placement: Option<PlacementRecord>,
    priority: u8,
    reason: &'static str,
    resumes: u32,
    route: Arc<str>,
    routes_version: u64,
    sends: u32,
    service: Arc<str>,
    status: u16,
    waited: Duration,
    workspace: Option<Arc<str>>,
}

impl CallLog {
    /// Creates the log of a request; its outcome is `CallerGone` until
    /// [`finish`](Self::finish) is called.
    pub(crate) fn new(call: &AdmittedCall, log: &Logger, metrics: &FrontMetrics) -> Self {
        let workspace = call.grant.workspace.as_ref();
        Self {
            started_at: call.received.started_at,
            end: CallEnd::CallerGone,
            events: 0,
            first_byte: None,
            id: call.received.head.id.clone(),
            last_event: None,
            log: log.clone(),
            longest_pause: Duration::ZERO,
            metrics: metrics.clone(),
            placement: None,
            priority: call.priority(),
            reason: "",
            resumes: 0,
            route: Arc::clone(&call.grant.route.name),
            routes_version: call.routes_version,
            sends: 0,
            service: Arc::clone(&call.service),
            status: 0,
            waited: Duration::ZERO,
            workspace: workspace.map(|workspace| Arc::clone(&workspace.name)),
        }
    }

    /// Records the chosen replica and counts an attempt.
    pub(crate) fn record_placement(&mut self, placement: PlacementRecord) {
        self.sends += 1;
        self.events = 0;
        self.placement = Some(placement);
    }

    /// Records that the request waited for room.
    pub(crate) fn record_wait(&mut self, waited: Duration) {
        self.waited += waited;
    }

    /// Returns the time for which the request has waited for room.
    pub(crate) fn waited(&self) -> Duration {
        self.waited
    }

    /// Records the status of a replica's reply, and the time to the first one.
    pub(crate) fn record_reply(&mut self, status: u16) {
        self.status = status;
        self.first_byte.get_or_insert(self.started_at.elapsed());
    }

    /// Records that `count` events of the stream arrived, and the pause since the previous ones.
    pub(crate) fn record_events(&mut self, count: u64) {
        self.events += count;
        let now = Instant::now();
        if let Some(last) = self.last_event.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
    }

    /// Returns the number of whole events of the current attempt.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Counts a resume of the stream at another replica.
    pub(crate) fn record_resume(&mut self) {
        self.resumes += 1;
    }

    /// Records how the request ended, and why.
    pub(crate) fn finish(&mut self, end: CallEnd, reason: &'static str) {
        self.end = end;
        self.reason = reason;
    }

    /// Returns whether the replica of the current attempt was chosen by its expected time.
    pub(crate) fn is_timed(&self) -> bool {
        let placement = self.placement.as_ref();
        placement.is_some_and(|placement| placement.timed.is_some())
    }

    /// Records the status of the daemon's own answer.
    pub(crate) fn record_local_answer(&mut self, status: u16) {
        self.status = status;
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        let outcome: &'static str = self.end.into();
        let total = self.started_at.elapsed();
        self.metrics.record_call(
            &self.service,
            outcome,
            self.workspace.as_deref(),
            self.first_byte,
            total,
        );
        let placement = self.placement.as_ref();
        let source = placement.and_then(|placement| placement.source.as_ref());
        let timed = placement.and_then(|placement| placement.timed);
        info!(self.log, "request finished";
            "request" => &self.id,
            "outcome" => outcome,
            "reason" => self.reason,
            "status" => self.status,
            "route" => self.route.as_ref(),
            "routes-version" => self.routes_version,
            "service" => self.service.as_ref(),
            "workspace" => self.workspace.as_deref(),
            "priority" => self.priority,
            "replica" => placement.map(|placement| placement.replica.as_ref()),
            "own-in-flight" => placement.map(|placement| placement.in_flight),
            "estimated" => placement.map(|placement| placement.requests.round() as i64),
            "mean" => placement.map(|placement| placement.mean.round() as i64),
            "candidates" => placement.map(|placement| placement.candidates),
            "placed-by" => placement.map(|placement| <&str>::from(placement.placed_by)),
            "leaves" => placement.and_then(|placement| placement.leaves).map(<&str>::from),
            "rank" => placement.and_then(|placement| placement.rank),
            "source" => source.map(|source| source.replica.id.as_ref()),
            "source-by" => source.map(|source| <&str>::from(source.basis)),
            "load-age-ms" => placement.and_then(|placement| placement.report_age).map(millis),
            "load-from" => placement.and_then(|placement| placement.report_source).map(<&str>::from),
            "expected-ms" => timed.map(|timed| millis(timed.expected)),
            "next-best-ms" => timed.and_then(|timed| timed.next_best).map(millis),
            "pace" => timed.map(|timed| (timed.pace * 100.0).round() as i64),
            "pace-age-ms" => timed.and_then(|timed| timed.pace_age).map(millis),
            "waited-ms" => millis(self.waited),
            "sends" => self.sends,
            "resumes" => self.resumes,
            "first-byte-ms" => self.first_byte.map(millis),
            "longest-pause-ms" => self.last_event.map(|_| millis(self.longest_pause)),
            "total-ms" => millis(total));
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The parts of a prompt as a value of a log line: their hashes, separated by commas.
#[derive(Debug)]
pub(crate) struct PromptParts<'a>(pub(crate) &'a [PromptPart]);

impl fmt::Display for PromptParts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().take(LOGGED_PARTS_MAX).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{:x}", part.hash)?;
        }
        Ok(())
    }
}
