//! Counters and histograms of one daemon.

use {
    poplargap_store::ControlBytes,
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
        Opts, Registry, TextEncoder,
    },
    std::{collections::BTreeSet, sync::Mutex},
};

/// Most classes with their own time series; the others share the label `other`.
const CLASS_LABELS_MAX: usize = 256;

const OTHER_CLASS: &str = "other";

/// Upper bounds of the histograms' buckets in seconds.
const SECONDS_BUCKETS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.72, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0,
];

/// Bounds the number of classes with their own time series.
#[derive(Debug, Default)]
struct ClassLabels(Mutex<BTreeSet<String>>);

impl ClassLabels {
    fn label<'a>(&self, class: &'a str) -> &'a str {
        let Ok(mut known) = self.0.lock() else {
            return OTHER_CLASS;
        };
        if known.contains(class) {
            return class;
        }
        if known.len() >= CLASS_LABELS_MAX {
            return OTHER_CLASS;
        }
        known.insert(class.to_owned());
        class
    }
}

/// All metrics of one daemon.
#[derive(Debug)]
pub struct DaemonMetrics {
    /// Attempts at upstreams and shard owners, by outcome.
    pub attempts: IntCounterVec,
    /// Bytes of control traffic, by kind and direction.
    pub control: ControlBytes,
    /// Events of answers that were not forwarded, by reason.
    pub events_dropped: IntCounterVec,
    /// Refused datagrams and calls of daemons, by reason.
    pub peers_refused: IntCounterVec,
    /// Requests in flight at upstreams of shards that this daemon owns or owned.
    pub owned_in_flight: IntGauge,
    /// Requests of callers in flight.
    pub requests_in_flight: IntGauge,
    /// Revision of the catalogue in force.
    pub revision: IntGauge,
    /// Answers resumed at another upstream or shard owner.
    pub resumes: IntCounter,
    /// Ready daemons of the own data centre.
    pub members_ready: IntGauge,
    /// This daemon's requests in flight at each upstream of the shards that it owns or owned.
    pub upstream_load: IntGaugeVec,
    class_labels: ClassLabels,
    first_token: HistogramVec,
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    tokens: IntCounterVec,
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn seconds(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
    let histograms = HistogramVec::new(opts, labels)?;
    registry.register(Box::new(histograms.clone()))?;
    Ok(histograms)
}

impl DaemonMetrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Returns an error when two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let upstream_load = IntGaugeVec::new(
            Opts::new(
                "poplargap_upstream_load",
                "Requests in flight at an upstream, counted at its home",
            ),
            &["upstream"],
        )?;
        registry.register(Box::new(upstream_load.clone()))?;
        let resumes = IntCounter::new(
            "poplargap_resumes_total",
            "Answers resumed at another upstream or home",
        )?;
        registry.register(Box::new(resumes.clone()))?;
        let control = ControlBytes::new();
        control.register(&registry)?;
        Ok(Self {
            attempts: counters(
                &registry,
                "poplargap_attempts_total",
                "Attempts, by outcome",
                &["outcome"],
            )?,
            class_labels: ClassLabels::default(),
            control,
            events_dropped: counters(
                &registry,
                "poplargap_events_dropped_total",
                "Events not forwarded",
                &["reason"],
            )?,
            first_token: seconds(
                &registry,
                "poplargap_first_token_seconds",
                "Time from accepting a request to its first token",
                &["class"],
            )?,
            owned_in_flight: gauge(
                &registry,
                "poplargap_homed_in_flight",
                "Requests at upstreams homed here",
            )?,
            members_ready: gauge(
                &registry,
                "poplargap_members_ready",
                "Ready daemons of the own data centre",
            )?,
            peers_refused: counters(
                &registry,
                "poplargap_peers_refused_total",
                "Refused messages",
                &["reason"],
            )?,
            request_seconds: seconds(
                &registry,
                "poplargap_request_seconds",
                "Time from accepting a request to the end of its answer",
                &["class", "outcome"],
            )?,
            requests: counters(
                &registry,
                "poplargap_requests_total",
                "Requests, by outcome",
                &["class", "outcome"],
            )?,
            requests_in_flight: gauge(
                &registry,
                "poplargap_requests_in_flight",
                "Callers' requests in flight",
            )?,
            resumes,
            revision: gauge(
                &registry,
                "poplargap_catalogue_revision",
                "Revision of the catalogue in force",
            )?,
            tokens: counters(
                &registry,
                "poplargap_tokens_total",
                "Tokens by kind",
                &["class", "kind"],
            )?,
            upstream_load,
            registry,
        })
    }

    /// Returns the registry, in which further metrics can be registered.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Records the time to a request's first token, in seconds.
    pub fn observe_first_token(&self, class: &str, seconds: f64) {
        let class = self.class_labels.label(class);
        self.first_token
            .with_label_values(&[class])
            .observe(seconds);
    }

    /// Records a request's outcome and its duration in seconds.
    pub fn observe_request(&self, class: &str, outcome: &str, seconds: f64) {
        let class = self.class_labels.label(class);
        self.requests.with_label_values(&[class, outcome]).inc();
        self.request_seconds
            .with_label_values(&[class, outcome])
            .observe(seconds);
    }

    /// Adds the tokens that a request used.
    pub fn observe_tokens(&self, class: &str, kind: &str, tokens: u64) {
        let class = self.class_labels.label(class);
        self.tokens.with_label_values(&[class, kind]).inc_by(tokens);
    }

    /// Returns all metrics in Prometheus' text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics can't be written: {error}\n"),
        }
    }
}
