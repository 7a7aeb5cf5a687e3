//! Measures the resources that daemons use and prints a table.

use {
    mimalloc::MiMalloc,
    pico_args::Arguments,
    poplargap_testbed::{
        capacity::{CapacityReport, CapacityRow, DataLoad, FleetSize, measure_data, measure_fleet},
        site::ProcessSite,
    },
    std::{error::Error, fs, path::PathBuf, process::ExitCode, time::Duration},
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const HELP: &str = "\
Starts daemons as processes, measures what they spend and prints a table.

Options:
  --json FILE      file for all measurements
  --series NAME    only one of: changes, daemons, data, planned, upstreams, workspaces
  --window-s TIME  length of each measurement without requests
";

const CALLERS: usize = 32;
const DEFAULT_WINDOW_S: u64 = 8;

/// Returns the fleet sizes to measure, each with the name of its series. The sizes of a series
/// differ in one number, those of `changes` in two.
fn fleet_sizes() -> Vec<(&'static str, FleetSize)> {
    let small = FleetSize::SMALL;
    let mut fleets = Vec::new();
    for daemons in [2, 6, 12, 19] {
        fleets.push(("daemons", FleetSize { daemons, ..small }));
    }
    for upstreams in [100, 600, 2_000] {
        fleets.push(("upstreams", FleetSize { upstreams, ..small }));
    }
    for workspaces in [100, 2_000, 12_000] {
        fleets.push((
            "workspaces",
            FleetSize {
                workspaces,
                ..small
            },
        ));
    }
    for workspaces in [100, 12_000] {
        for changes_per_second in [0.33, 2.0, 8.0] {
            fleets.push((
                "changes",
                FleetSize {
                    changes_per_second,
                    daemons: 4,
                    workspaces,
                    ..small
                },
            ));
        }
    }
    fleets.push(("planned", FleetSize::PLANNED));
    fleets
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), Box<dyn Error>> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let series_filter: Option<String> = arguments.opt_value_from_str("--series")?;
    let window: Option<u64> = arguments.opt_value_from_str("--window-s")?;
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument `{}`", argument.display()).into());
    }
    let is_selected = |series: &str| series_filter.as_deref().is_none_or(|only| only == series);
    let window = Duration::from_secs(window.unwrap_or(DEFAULT_WINDOW_S));
    let program = ProcessSite::program("poplargapd")?;
    let mut report = CapacityReport::default();
    println!("{}", CapacityReport::table_header());
    for (series, size) in fleet_sizes()
        .into_iter()
        .filter(|(series, _)| is_selected(series))
    {
        let cost = measure_fleet(&program, &size, window).await?;
        let series = series.to_owned();
        let row = CapacityRow::Fleet { cost, series, size };
        print!("{row}");
        report.rows.push(row);
    }
    if is_selected("data") {
        for (requests, tokens_max) in [(400, 1), (100, 64), (40, 256)] {
            let load = DataLoad {
                callers: CALLERS,
                requests,
                tokens_max,
            };
            let costs = measure_data(&program, &load).await?;
            let row = CapacityRow::Data { costs, load };
            print!("{row}");
            report.rows.push(row);
        }
    }
    if let Some(json) = json {
        fs::write(json, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(())
}
