//! Runs a data centre's daemons as processes and measures what they spend without requests.

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
const CATCH_UP_MAX: Duration = Duration::from_mins(1);
const CATCH_UP_POLL: Duration = Duration::from_millis(200);

/// Longer than a watch's wait, so that daemons that follow peers have left the store.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Measures `fleet` for `window`.
///
/// # Errors
///
/// Returns an error when a part can't start or the daemons don't take the catalogue in time.
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
    catch_up(&site, revision).await?;
    time::sleep(SETTLE_TIME).await;
    let cost = watch(&site, &mut filler, fleet, window).await;
    site.close().await;
    cost
}

async fn catch_up(site: &ProcessSite, revision: u64) -> Result<(), CapacityError> {
    let client = StatusClient::default();
    let end = Instant::now() + CATCH_UP_MAX;
    for daemon in &site.daemons {
        loop {
            let status = client.status(daemon.operators).await;
            if status.is_some_and(|status| status.revision >= revision) {
                break;
            }
            if Instant::now() >= end {
                return Err(CapacityError::Stale(revision));
            }
            time::sleep(CATCH_UP_POLL).await;
        }
    }
    Ok(())
}

async fn watch(
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
    change(filler, fleet.changes_per_second, window).await?;
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

/// Changes the catalogue at a steady rate for `window`.
async fn change(
    filler: &mut CatalogueFiller,
    per_second: f64,
    window: Duration,
) -> Result<(), CapacityError> {
    let end = Instant::now() + window;
    if per_second > 0.0 {
        let mut ticks = time::interval(Duration::from_secs_f64(1.0 / per_second));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        while time::timeout_at(end, ticks.tick()).await.is_ok() {
            filler.touch().await?;
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

/// What one daemon has used by a moment.
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
            .filter_map(|(name, value)| Some((byte_series(&name)?, value)))
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
        let used = after.sample.processor.saturating_sub(self.sample.processor);
        let bytes = after.bytes.iter().map(|(series, bytes)| {
            let before = self.bytes.get(series).copied().unwrap_or_default();
            (series.clone(), (bytes - before) / seconds)
        });
        DaemonCost {
            bytes: bytes.collect(),
            core_percent: used.as_secs_f64() / seconds * 100.0,
            metrics_len: after.metrics_len,
            resident_mb: after.sample.resident as f64 / 1e6,
        }
    }
}

/// Returns `kind direction` of a series that counts control bytes.
fn byte_series(series: &str) -> Option<String> {
    let labels = series.strip_prefix(BYTES_METRIC)?;
    let value = |label: &str| {
        let (_, rest) = labels.split_once(&format!("{label}=\""))?;
        Some(rest.split_once('"')?.0.to_owned())
    };
    Some(format!("{} {}", value("kind")?, value("direction")?))
}
