//! Runs one experiment: starts a site of daemon processes, sends a seeded load and prints a table.

use {
    mimalloc::MiMalloc,
    pico_args::Arguments,
    poplargap_core::owner::PolicyKind,
    poplargap_testbed::{
        engine::EngineSettings,
        load::{
            ClassLoad, DeskLoadSettings, LoadSettings, ReferenceSettings, SurgeWindow, WorkProfile,
            WorkspaceLoad, run_load,
        },
        site::{ProcessSite, SitePlan, StatusClient},
    },
    std::{
        collections::BTreeMap, error::Error, fs, net::SocketAddr, num::NonZeroUsize, path::PathBuf,
        process::ExitCode, time::Duration,
    },
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const HELP: &str = "\
Runs one measured round on daemon processes and prints one table.

Options:
  --site quabbin|strop   sizes of the site (default quabbin)
  --policy NAME          homed, random, least-load or hash (default homed)
  --multiple NUMBER      multiple of the mean load (default 1.5)
  --shard-size COUNT     upstreams of one home (default 32)
  --rate COUNT           chat turns a second (default 80)
  --duration-s TIME      time in which calls begin (default 60)
  --churn-s TIME         restart one engine after each such time
  --surge WORKSPACE      this workspace sends five times its load in the middle third
  --seed NUMBER          seed of the schedule (default 1)
  --json FILE            where the report goes as JSON
";

const SURGE_FACTOR: f64 = 5.0;
const WORKSPACES: usize = 10;

/// Load weights of the first workspaces; each of the others has the weight 1.
const LARGE_WEIGHTS: [f64; 3] = [10.0, 5.0, 3.0];

struct ExperimentPlan {
    churn: Option<f64>,
    json: Option<PathBuf>,
    load: LoadSettings,
    site: SitePlan,
}

fn engine_settings() -> EngineSettings {
    EngineSettings {
        decode_base: Duration::from_millis(40),
        decode_slope: Duration::from_micros(500),
        load_lag: Duration::from_secs(1),
        ..EngineSettings::default()
    }
}

fn workspaces() -> Vec<WorkspaceLoad> {
    let class = |name: &str, profile, share| ClassLoad {
        deadline_ms: None,
        name: name.to_owned(),
        profile,
        share,
    };
    (0..WORKSPACES)
        .map(|number| WorkspaceLoad {
            classes: vec![
                class("checks", WorkProfile::Check, 0.2),
                class("notes", WorkProfile::Note, 0.5),
                class("reports", WorkProfile::Report, 0.3),
            ],
            key: format!("key-of-w{:02}", number + 1),
            name: format!("w{:02}", number + 1),
            weight: LARGE_WEIGHTS.get(number).copied().unwrap_or(1.0),
        })
        .collect()
}

fn site_plan(name: &str) -> Result<SitePlan, String> {
    let mut plan = match name {
        "quabbin" => SitePlan::new(&["ne1", "ne2", "ne3", "ne4"], 6, 18, 4, WORKSPACES),
        "strop" => SitePlan::new(&["cy1", "cy2", "cy3"], 6, 18, 3, WORKSPACES),
        _ => {
            return Err(format!(
                "no site is called `{name}`; there are quabbin and strop"
            ));
        }
    };
    plan.engine = engine_settings();
    Ok(plan)
}

fn read_plan() -> Result<Option<ExperimentPlan>, Box<dyn Error>> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(None);
    }
    let name: String = arguments
        .opt_value_from_str("--site")?
        .unwrap_or("quabbin".to_owned());
    let mut site = site_plan(&name)?;
    site.policy = arguments
        .opt_value_from_str("--policy")?
        .unwrap_or(PolicyKind::Affinity);
    if let Some(multiple) = arguments.opt_value_from_str("--multiple")? {
        site.engines.multiple = multiple;
    }
    if let Some(size) = arguments.opt_value_from_str("--shard-size")? {
        site.engines.shard_size = size;
    }
    let duration: f64 = arguments
        .opt_value_from_str("--duration-s")?
        .unwrap_or(60.0);
    let churn = arguments.opt_value_from_str("--churn-s")?;
    let surge: Option<usize> = arguments.opt_value_from_str("--surge")?;
    let third = Duration::from_secs_f64(duration / 3.0);
    let load = LoadSettings {
        churn_interval: churn.map(Duration::from_secs_f64),
        desk: Some(DeskLoadSettings {
            booking_class: Some("bookings".to_owned()),
            lookup_class: Some("lookups".to_owned()),
            rate: 10.0,
            ..DeskLoadSettings::default()
        }),
        duration: Duration::from_secs_f64(duration),
        rate: arguments.opt_value_from_str("--rate")?.unwrap_or(80.0),
        reference: ReferenceSettings {
            engines: NonZeroUsize::new(site.engines.upstreams).ok_or("a site has engines")?,
            ..ReferenceSettings::default()
        },
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        surge: surge.map(|workspace| SurgeWindow {
            factor: SURGE_FACTOR,
            from: third,
            len: third,
            workspace,
        }),
        workspaces: workspaces(),
        ..LoadSettings::default()
    };
    let json = arguments.opt_value_from_str("--json")?;
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument `{}`", argument.display()).into());
    }
    Ok(Some(ExperimentPlan {
        churn,
        json,
        load,
        site,
    }))
}

/// Returns each metric's sum over all daemons.
async fn metric_sums(operators: &[SocketAddr]) -> BTreeMap<String, f64> {
    let client = StatusClient::default();
    let mut sums = BTreeMap::new();
    for address in operators {
        for (name, value) in client.metrics(*address).await {
            *sums.entry(name).or_insert(0.0) += value;
        }
    }
    sums
}

async fn run() -> Result<bool, Box<dyn Error>> {
    let Some(ExperimentPlan {
        churn,
        json,
        mut load,
        site: plan,
    }) = read_plan()?
    else {
        return Ok(true);
    };
    let program = ProcessSite::program("poplargapd")?;
    let mut site = ProcessSite::start(&plan, &program).await?;
    load.daemons = site.daemons.iter().map(|daemon| daemon.callers).collect();
    load.engines = site.upstreams().engine_controls();
    let seconds = load.duration.as_secs_f64();
    let run = run_load(load, site.upstreams()).await?;
    let operators: Vec<SocketAddr> = site.daemons.iter().map(|daemon| daemon.operators).collect();
    let sums = metric_sums(&operators).await;
    let sum = |name: &str| sums.get(name).copied().unwrap_or_default();
    println!(
        "policy {}, multiple {}, shard size {}, churn {churn:?}",
        plan.policy, plan.engines.multiple, plan.engines.shard_size
    );
    print!("{}", run.report);
    let control = sum("poplargap_control_bytes_total") / seconds / operators.len() as f64;
    println!(
        "control {control:.0} bytes/s a daemon; resumes {:.0}; invariants broken {:.0}",
        sum("poplargap_resumes_total"),
        sum("poplargap_invariants_broken_total")
    );
    for problem in run.report.problems.iter().take(10) {
        println!("problem: {problem}");
    }
    if let Some(file) = json {
        fs::write(file, serde_json::to_vec_pretty(&run.report)?)?;
    }
    site.close().await;
    let all = &run.report.all;
    Ok(all.foreign == 0 && sum("poplargap_invariants_broken_total") == 0.0)
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("experiment: {error}");
            ExitCode::FAILURE
        }
    }
}
