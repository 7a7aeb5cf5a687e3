//! Sampling of the requests in flight on the engines.

use {
    crate::engine::PeakRecord,
    futures::future::join_all,
    reqwest::Client,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one engine's response.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Skew of load: in each sample, the highest number of requests in flight divided by the mean.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SkewReport {
    /// Highest number of requests in flight on one engine.
    pub in_flight_max: usize,
    /// Mean number of requests in flight on an engine, over all samples.
    pub in_flight_mean: f64,
    /// Largest skew.
    pub max: f64,
    /// Median of the skew over all samples.
    pub p50: f64,
    /// 99th percentile of the skew over all samples.
    pub p99: f64,
    /// Number of samples with a request in flight; other samples are left out.
    pub samples: usize,
}

impl Display for SkewReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "skew p50 {:.2}, p99 {:.2}, max {:.2} over {} samples; in flight mean {:.2}, max {}",
            self.p50, self.p99, self.max, self.samples, self.in_flight_mean, self.in_flight_max
        )
    }
}

/// Requests in flight on the engines that answered, at one moment.
#[derive(Clone, Copy, Debug)]
struct SkewSample {
    highest: usize,
    mean: f64,
}

/// Samples the engines for `duration`, or until `stop_rx` receives a message or its sender is
/// dropped.
pub(super) async fn probe(
    engines: Vec<SocketAddr>,
    duration: Duration,
    mut stop_rx: oneshot::Receiver<()>,
) -> Option<SkewReport> {
    let client = Client::builder().no_proxy().build();
    let client = client.expect("the HTTP library can be set up");
    let deadline = Instant::now() + duration;
    let mut samples = Vec::new();
    let mut ticks = interval(SAMPLE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while Instant::now() < deadline {
        tokio::select! {
            _ = &mut stop_rx => break,
            _ = ticks.tick() => {}
        }
        let requests = engines.iter().map(|engine| in_flight(&client, *engine));
        let loads: Vec<_> = join_all(requests).await.into_iter().flatten().collect();
        samples.extend(sample(&loads));
    }
    report(&samples)
}

async fn in_flight(client: &Client, engine: SocketAddr) -> Option<usize> {
    let request = client
        .get(format!("http://{engine}/peak"))
        .timeout(SAMPLE_TIMEOUT);
    let response = request.send().await.ok()?;
    let record: PeakRecord = response.json().await.ok()?;
    Some(record.in_flight)
}

fn sample(loads: &[usize]) -> Option<SkewSample> {
    let highest = *loads.iter().max()?;
    let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
    (highest > 0).then_some(SkewSample { highest, mean })
}

fn report(samples: &[SkewSample]) -> Option<SkewReport> {
    let mut skews: Vec<f64> = samples
        .iter()
        .map(|sample| sample.highest as f64 / sample.mean)
        .collect();
    skews.sort_by(f64::total_cmp);
    let quantile = |quantile: f64| skews[(quantile * (skews.len() - 1) as f64).ceil() as usize];
    let means: f64 = samples.iter().map(|sample| sample.mean).sum();
    Some(SkewReport {
        in_flight_max: samples.iter().map(|sample| sample.highest).max()?,
        in_flight_mean: means / samples.len() as f64,
        max: *skews.last()?,
        p50: quantile(0.5),
        p99: quantile(0.99),
        samples: samples.len(),
    })
}
