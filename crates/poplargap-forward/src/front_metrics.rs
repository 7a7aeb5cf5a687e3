//! Counters and histograms of a front proxy.

use {
    crate::{metric_bounds::BOUNDS_S, room_metrics::RoomMetrics, store_metrics::StoreMetrics},
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
    },
    std::time::Duration,
};

/// Metrics of a front proxy; clones share their values.
#[derive(Clone, Debug)]
pub(crate) struct FrontMetrics {
    attempts: IntCounterVec,
    blocked_parts: IntGauge,
    calls: IntCounterVec,
    connections: IntCounterVec,
    crash_reports: IntCounterVec,
    evacuated: IntGauge,
    first_byte: HistogramVec,
    leaves: IntCounterVec,
    leave_bytes: IntCounterVec,
    notices: IntCounterVec,
    peer_messages: IntCounterVec,
    prompt_sources: IntCounterVec,
    registry: Registry,
    room: RoomMetrics,
    store: StoreMetrics,
    total: HistogramVec,
}

impl FrontMetrics {
    /// Creates metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric's name or description is invalid.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(BOUNDS_S.to_vec());
            let histogram = HistogramVec::new(options, labels)?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let blocked_parts = gauge(
            "poplargap_blocked_parts",
            "Prompt parts whose requests are refused because they crash replicas",
        )?;
        let evacuated = gauge(
            "poplargap_evacuated_data_centres",
            "Data centres whose replicas get no new requests",
        )?;
        let room = RoomMetrics::new(&registry)?;
        Ok(Self {
            attempts: counter(
                "poplargap_attempts_total",
                "Sends to replicas by their outcome",
                &["service", "outcome"],
            )?,
            blocked_parts,
            calls: counter(
                "poplargap_requests_total",
                "Requests of callers by their end",
                &["service", "outcome"],
            )?,
            connections: counter(
                "poplargap_replica_connections_total",
                "Connections to replicas that were opened or failed to open",
                &["service", "outcome"],
            )?,
            crash_reports: counter(
                "poplargap_crash_reports_total",
                "Writes of crash reports and notes on prompt parts to the store by their outcome",
                &["outcome"],
            )?,
            evacuated,
            first_byte: histogram(
                "poplargap_first_byte_seconds",
                "Time from a request to the head of its answer, by workspace",
                &["service", "workspace"],
            )?,
            leaves: counter(
                "poplargap_left_requests_total",
                "Sends to replicas of other data centres by the reason",
                &["service", "data_centre", "reason"],
            )?,
            leave_bytes: counter(
                "poplargap_left_body_bytes_total",
                "Bytes of requests' bodies that were sent to other data centres",
                &["service", "data_centre"],
            )?,
            notices: counter(
                "poplargap_replica_notices_total",
                "Statements of replicas about new requests: leaving, leaving as a peer sent it, refusal",
                &["notice"],
            )?,
            peer_messages: counter(
                "poplargap_peer_messages_total",
                "Datagrams between daemons by what became of them",
                &["outcome"],
            )?,
            prompt_sources: counter(
                "poplargap_prompt_sources_total",
                "Sends that name a replica to fetch the prompt from, by how it was chosen",
                &["service", "basis"],
            )?,
            store: StoreMetrics::new(&registry)?,
            total: histogram(
                "poplargap_request_seconds",
                "Time from a request to the end of its answer",
                &["service"],
            )?,
            room,
            registry,
        })
    }

    pub(crate) fn record_attempt(&self, service: &str, outcome: &str) {
        self.attempts.with_label_values(&[service, outcome]).inc();
    }

    pub(crate) fn record_call(
        &self,
        service: &str,
        outcome: &str,
        workspace: Option<&str>,
        first_byte: Option<Duration>,
        total: Duration,
    ) {
        self.calls.with_label_values(&[service, outcome]).inc();
        self.total
            .with_label_values(&[service])
            .observe(total.as_secs_f64());
        if let Some(time) = first_byte {
            self.first_byte
                .with_label_values(&[service, workspace.unwrap_or("")])
                .observe(time.as_secs_f64());
        }
    }

    pub(crate) fn record_connection(&self, service: &str, outcome: &str) {
        self.connections
            .with_label_values(&[service, outcome])
            .inc();
    }

    pub(crate) fn record_crash_report(&self, outcome: &str) {
        self.crash_reports.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn set_blocked_parts(&self, count: usize) {
        self.blocked_parts
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(crate) fn record_leave(&self, service: &str, centre: &str, reason: &str, bytes: usize) {
        self.leaves
            .with_label_values(&[service, centre, reason])
            .inc();
        self.leave_bytes
            .with_label_values(&[service, centre])
            .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Returns the metrics of requests that wait for room.
    pub(crate) fn room(&self) -> &RoomMetrics {
        &self.room
    }

    pub(crate) fn set_evacuated(&self, count: usize) {
        self.evacuated.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(crate) fn record_notice(&self, notice: &str) {
        self.notices.with_label_values(&[notice]).inc();
    }

    pub(crate) fn record_peer_message(&self, outcome: &str) {
        self.peer_messages.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn record_prompt_source(&self, service: &str, basis: &str) {
        self.prompt_sources
            .with_label_values(&[service, basis])
            .inc();
    }

    /// Returns the metrics of the reads of the store.
    pub(crate) fn store(&self) -> &StoreMetrics {
        &self.store
    }

    /// Encodes all metrics in Prometheus's text format.
    pub(crate) fn render(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
