//! Report of the capacity measurements, as a table and as JSON.

use {
    super::{DataCost, DataLoad, FleetCost, FleetSize},
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// One measurement with its settings and results.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "measured")]
pub enum CapacityRow {
    /// Requests relayed by two daemons, all sent to the first and then all to the second.
    Data {
        /// Cost of the run at each of the two daemons.
        costs: [DataCost; 2],
        /// Number of callers, requests and tokens.
        load: DataLoad,
    },
    /// An idle data centre: control traffic only, no requests.
    Fleet {
        /// Cost of each daemon, and store calls.
        cost: FleetCost,
        /// Name of the series, which is the quantity that varies.
        series: String,
        /// Size of the fleet and rate of catalogue changes.
        size: FleetSize,
    },
}

/// All measurements of one run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CapacityReport {
    /// The measurements in the order in which they were made.
    pub rows: Vec<CapacityRow>,
}

impl CapacityReport {
    /// Returns the header of the Markdown table of `Fleet` rows.
    #[must_use]
    pub fn table_header() -> &'static str {
        "| series | daemons | data centres | upstreams | workspaces | changes/s | % core mean | % core max | \
         sent B/s mean | sent B/s max | received B/s mean | received B/s max | MB mean | MB max | \
         store reads/s | store writes/s | metrics B |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    }
}

impl Display for CapacityRow {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Data { costs, load } => write_data(f, costs, load),
            Self::Fleet { cost, series, size } => write_fleet(f, cost, series, size),
        }
    }
}

fn write_data(f: &mut Formatter<'_>, costs: &[DataCost; 2], load: &DataLoad) -> fmt::Result {
    for (number, cost) in costs.iter().enumerate() {
        let per_request = |seconds: f64| seconds / cost.requests.max(1) as f64 * 1e6;
        writeln!(
            f,
            "data: {} callers, to daemon {number}: {} requests, {} tokens in {:.1} s; \
             entry {:.2} s ({:.0} us/request), other {:.2} s ({:.0} us/request)",
            load.callers,
            cost.requests,
            cost.tokens,
            cost.window_s,
            cost.entry_s,
            per_request(cost.entry_s),
            cost.other_s,
            per_request(cost.other_s),
        )?;
    }
    Ok(())
}

fn write_fleet(
    f: &mut Formatter<'_>,
    cost: &FleetCost,
    series: &str,
    size: &FleetSize,
) -> fmt::Result {
    let FleetSize {
        changes_per_second,
        daemons,
        data_centres,
        upstreams,
        workspaces,
        ..
    } = size;
    write!(
        f,
        "| {series} | {daemons} | {data_centres} | {upstreams} | {workspaces} | {changes_per_second} "
    )?;
    write!(
        f,
        "| {:.2} | {:.2} ",
        cost.mean(|daemon| daemon.core_percent),
        cost.max(|daemon| daemon.core_percent)
    )?;
    for direction in ["sent", "received"] {
        let mean = cost.mean(|daemon| daemon.bytes_in(direction));
        let max = cost.max(|daemon| daemon.bytes_in(direction));
        write!(f, "| {mean:.0} | {max:.0} ")?;
    }
    writeln!(
        f,
        "| {:.1} | {:.1} | {:.1} | {:.2} | {:.0} |",
        cost.mean(|daemon| daemon.resident_mb),
        cost.max(|daemon| daemon.resident_mb),
        cost.store_reads,
        cost.store_writes,
        cost.max(|daemon| daemon.metrics_len as f64),
    )?;
    let Some((name, costliest)) = cost
        .daemons
        .iter()
        .max_by(|(_, a), (_, b)| a.core_percent.total_cmp(&b.core_percent))
    else {
        return Ok(());
    };
    let kinds: Vec<String> = costliest
        .bytes
        .iter()
        .filter(|(_, bytes)| **bytes >= 1.0)
        .map(|(kind, bytes)| format!("{kind} {bytes:.0}"))
        .collect();
    writeln!(f, "  dearest daemon {name}, B/s: {}", kinds.join(", "))
}
