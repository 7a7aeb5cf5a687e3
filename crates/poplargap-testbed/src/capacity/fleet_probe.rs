//! Runs a data centre's daemons as processes and measures the resources that they use without
//! requests.

use {
    super::{
        CapacityError, CatalogueFiller, DaemonCost, FleetCost, FleetSize, ProcessSample,
        catalogue_filler::data_centre_name, vm_listing,
    },
    crate::{
        site::{DaemonProcess, ProcessSite, SitePlan, StatusClient},
        store::CallCounts,
    },
    std::{collections::BTreeMap, net::SocketAddr, path::Path, time::Duration},
    tokio::time::{self, Instant, MissedTickBehavior},
};

const BYTES_METRIC: &str = "poplargap_control_bytes_total";
const REVISION_TIMEOUT: Duration = Duration::from_mins(1);
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time between the catalogue's arrival at all daemons and the measurement. It is longer than a
/// store watch waits, so that daemons that receive the catalogue from peers no longer watch the
/// store.
const WARM_UP_TIME: Duration = Duration::from_secs(12);

/// Starts the daemons of `fleet` and measures their cost over `window`.
///
/// # Errors
///
/// Returns an error when a process can't start or the daemons don't reach the catalogue's revision
/// in time.
pub async fn measure_fleet(
    program: &Path,
    fleet: &FleetSize,
    window: Duration,
) -> Result<FleetCost, CapacityError> {
    let centre = data_centre_name(0);
    let mut plan = SitePlan::new(&[&centre], fleet.daemons, 1, 1, 1);
    "error".clone_into(&mut plan.log_level);
    let mut site = ProcessSite::start(&plan, program).await?;
    let upstream = site.upstreams().desks[0].address();
    let engine = site.upstreams().engines[0].as_ref();
    let upstream = engine.map_or(upstream, crate::engine::EngineStandIn::address);
    let vms = vm_listing::extend(site.vms().to_vec(), fleet, upstream)?;
    site.set_vms(&vms).await?;
    let mut filler = CatalogueFiller::read(site.store()).await?;
    let revision = filler.fill(fleet, upstream).await?;
    wait_for_revision(&site, revision).await?;
    time::sleep(WARM_UP_TIME).await;
    let cost = measure_window(&site, &mut filler, fleet, window).await;
    site.close().await;
    cost
}

async fn wait_for_revision(site: &ProcessSite, revision: u64) -> Result<(), CapacityError> {
    let client = StatusClient::default();
    let end = Instant::now() + REVISION_TIMEOUT;
    for daemon in &site.daemons {
        loop {
            let status = client.status(daemon.operators).await;
            if status.is_some_and(|status| status.revision >= revision) {
                break;
            }
            if Instant::now() >= end {
                return Err(CapacityError::Stale(revision));
            }
            time::sleep(REVISION_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn measure_window(
    site: &ProcessSite,
    filler: &mut CatalogueFiller,
    fleet: &FleetSize,
    window: Duration,
) -> Result<FleetCost, CapacityError> {
    let mut before = Vec::new();
    for daemon in &site.daemons {
        before.push(DaemonReading::read(daemon).await?);
    }
    let counts = store_counts(site.store()).await?;
    let begin = Instant::now();
    change_catalogue(filler, fleet.changes_per_second, window).await?;
    let counts_after = store_counts(site.store()).await?;
    let mut after = Vec::new();
    for daemon in &site.daemons {
        after.push(DaemonReading::read(daemon).await?);
    }
    let seconds = begin.elapsed().as_secs_f64();
    let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
    let daemons = site.daemons.iter().zip(before.iter().zip(&after));
    Ok(FleetCost {
        daemons: daemons
            .map(|(daemon, (before, after))| (daemon.name.clone(), before.cost(after)))
            .collect(),
        store_reads: rate(counts.reads, counts_after.reads),
        store_writes: rate(counts.writes, counts_after.writes) - fleet.changes_per_second,
        window_s: seconds,
    })
}

/// Changes the catalogue `per_second` times a second for `window`.
async fn change_catalogue(
    filler: &mut CatalogueFiller,
    per_second: f64,
    window: Duration,
) -> Result<(), CapacityError> {
    let end = Instant::now() + window;
    if per_second > 0.0 {
        let mut ticks = time::interval(Duration::from_secs_f64(1.0 / per_second));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        while time::timeout_at(end, ticks.tick()).await.is_ok() {
            filler.change_next_bucket().await?;
        }
    }
    time::sleep_until(end).await;
    Ok(())
}

async fn store_counts(store: SocketAddr) -> Result<CallCounts, CapacityError> {
    let url = format!("http://{store}/counters");
    let counts = async { reqwest::get(url).await?.json().await };
    counts
        .await
        .map_err(|error: reqwest::Error| CapacityError::Catalogue(error.to_string()))
}

/// Cumulative resource use of one daemon at the time `at`.
#[derive(Debug)]
struct DaemonReading {
    at: Instant,
    bytes: BTreeMap<String, f64>,
    metrics_len: usize,
    sample: ProcessSample,
}

impl DaemonReading {
    async fn read(daemon: &DaemonProcess) -> Result<Self, CapacityError> {
        let series = StatusClient::default().series(daemon.operators).await;
        let metrics_len = series.iter().map(|(name, _)| name.len()).sum();
        let bytes = series
            .into_iter()
            .filter_map(|(name, value)| Some((control_bytes_key(&name)?, value)))
            .collect();
        let id = daemon.id().unwrap_or_default();
        Ok(Self {
            at: Instant::now(),
            bytes,
            metrics_len,
            sample: ProcessSample::read(id)?,
        })
    }

    fn cost(&self, after: &Self) -> DaemonCost {
        let seconds = after.at.duration_since(self.at).as_secs_f64();
        let cpu_time = after.sample.cpu_time.saturating_sub(self.sample.cpu_time);
        let bytes = after.bytes.iter().map(|(series, bytes)| {
            let before = self.bytes.get(series).copied().unwrap_or_default();
            (series.clone(), (bytes - before) / seconds)
        });
        DaemonCost {
            bytes: bytes.collect(),
            core_percent: cpu_time.as_secs_f64() / seconds * 100.0,
            metrics_len: after.metrics_len,
            resident_mb: after.sample.resident_bytes as f64 / 1e6,
        }
    }
}

/// Returns `kind direction` from the labels of a series of control bytes, and `None` for any other.
fn control_bytes_key(series: &str) -> Option<String> {
    let labels = series.strip_prefix(BYTES_METRIC)?;
    let value = |label: &str| {
        let (_, rest) = labels.split_once(&format!("{label}=\""))?;
        Some(rest.split_once('"')?.0.to_owned())
    };
    Some(format!("{} {}", value("kind")?, value("direction")?))
}
