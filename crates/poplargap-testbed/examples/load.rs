//! Sends a load of multi-turn chats and service calls and reports the outcomes.

use {
    mimalloc::MiMalloc,
    pico_args::Arguments,
    poplargap_testbed::{
        desk::{DeskSettings, DeskStandIn},
        engine::EngineSettings,
        load::{
            DeskLoadSettings, EngineFleet, LoadRun, LoadSettings, NoChurn, SurgeWindow,
            WorkspaceLoad, run_load,
        },
    },
    std::{
        error::Error,
        fs,
        net::SocketAddr,
        num::{NonZeroUsize, ParseIntError},
        path::PathBuf,
        process::ExitCode,
        time::Duration,
    },
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Ratio of a workspace's rate during a surge to its usual rate.
const SURGE_FACTOR: f64 = 5.0;

const HELP: &str = "\
Sends a load of returning chats and service calls and reports what came of it.

Options:
  --churn-s TIME                    restart one own engine after each such time
  --daemon ADDRESS                  address of a daemon; repeat for each
  --desk ADDRESS                    address of a desk called directly; repeat for each
  --desk-rate COUNT                 service calls a second
  --duration-s TIME                 time in which calls begin
  --engine ADDRESS                  control address of an engine, for the skew; repeat for each
  --json FILE                       where the report goes as JSON
  --model NAME                      name of the model
  --own-engines COUNT               call as many engines and a desk of this process directly
  --pause-long-s TIME               mean of the long pauses
  --pause-short-s TIME              mean of the short pauses
  --rate COUNT                      chat turns a second
  --reference-cache-blocks COUNT    cache blocks of an engine of the reuse reference
  --reference-engines COUNT         engines of the reuse reference
  --seed NUMBER                     seed of the schedule
  --service NAME                    name of the plain service
  --surge WORKSPACE:FROM_S:LEN_S    index of a workspace that surges, and when
  --workspaces FILE                 workspaces as JSON
";

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
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
    let settings = read_settings(&mut arguments)?;
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let own_engines: Option<NonZeroUsize> = arguments.opt_value_from_str("--own-engines")?;
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument `{}`", argument.display()).into());
    }
    let run = match own_engines {
        Some(count) => run_on_own_engines(settings, count).await?,
        None => run_load(settings, NoChurn).await?,
    };
    print!("{}", run.report);
    for problem in &run.report.problems {
        eprintln!("{problem}");
    }
    if let Some(path) = json {
        fs::write(path, serde_json::to_vec_pretty(&run.report)?)?;
    }
    Ok(())
}

async fn run_on_own_engines(
    settings: LoadSettings,
    count: NonZeroUsize,
) -> Result<LoadRun, Box<dyn Error>> {
    let engine_settings = EngineSettings {
        block_tokens: settings.reference.block_tokens,
        cache_blocks: settings.reference.cache_blocks,
        ..EngineSettings::default()
    };
    let mut fleet = EngineFleet::start(engine_settings, count.get()).await?;
    let desk = DeskStandIn::start(DeskSettings::default()).await?;
    let mut settings = settings;
    settings.daemons = fleet.addresses().to_vec();
    settings.engines = fleet.control_addresses().to_vec();
    settings.reference.engines = count;
    if let Some(load) = &mut settings.desk {
        load.addresses = vec![desk.address()];
    }
    let run = run_load(settings, &mut fleet).await?;
    desk.close().await;
    fleet.close().await;
    Ok(run)
}

fn read_settings(arguments: &mut Arguments) -> Result<LoadSettings, Box<dyn Error>> {
    let mut settings = LoadSettings {
        daemons: arguments.values_from_str("--daemon")?,
        desk: read_desk(arguments)?,
        engines: arguments.values_from_str("--engine")?,
        ..LoadSettings::default()
    };
    let mut set_seconds = |name, field: &mut Duration| {
        if let Some(seconds) = arguments.opt_value_from_str(name)? {
            *field = Duration::try_from_secs_f64(seconds)?;
        }
        Ok::<(), Box<dyn Error>>(())
    };
    set_seconds("--duration-s", &mut settings.duration)?;
    set_seconds("--pause-long-s", &mut settings.pause_long)?;
    set_seconds("--pause-short-s", &mut settings.pause_short)?;
    if let Some(seconds) = arguments.opt_value_from_str("--churn-s")? {
        settings.churn_interval = Some(Duration::try_from_secs_f64(seconds)?);
    }
    if let Some(model) = arguments.opt_value_from_str("--model")? {
        settings.model = model;
    }
    if let Some(rate) = arguments.opt_value_from_str("--rate")? {
        settings.rate = rate;
    }
    if let Some(count) = arguments.opt_value_from_str("--reference-cache-blocks")? {
        settings.reference.cache_blocks = count;
    }
    if let Some(count) = arguments.opt_value_from_str("--reference-engines")? {
        settings.reference.engines = count;
    }
    if let Some(seed) = arguments.opt_value_from_str("--seed")? {
        settings.seed = seed;
    }
    settings.surge = arguments.opt_value_from_fn("--surge", parse_surge)?;
    if let Some(path) = arguments.opt_value_from_str::<_, PathBuf>("--workspaces")? {
        settings.workspaces = serde_json::from_slice::<Vec<WorkspaceLoad>>(&fs::read(path)?)?;
    }
    Ok(settings)
}

fn read_desk(arguments: &mut Arguments) -> Result<Option<DeskLoadSettings>, pico_args::Error> {
    let mut desk = DeskLoadSettings {
        addresses: arguments.values_from_str::<_, SocketAddr>("--desk")?,
        ..DeskLoadSettings::default()
    };
    if let Some(rate) = arguments.opt_value_from_str("--desk-rate")? {
        desk.rate = rate;
    }
    if let Some(service) = arguments.opt_value_from_str("--service")? {
        desk.service = service;
    }
    Ok((desk.rate > 0.0).then_some(desk))
}

fn parse_surge(text: &str) -> Result<SurgeWindow, String> {
    let numbers: Result<Vec<u64>, ParseIntError> = text.split(':').map(str::parse).collect();
    let Ok([workspace, from, len]) = numbers.as_deref() else {
        return Err("a surge is written WORKSPACE:FROM_S:LEN_S".to_owned());
    };
    Ok(SurgeWindow {
        factor: SURGE_FACTOR,
        from: Duration::from_secs(*from),
        len: Duration::from_secs(*len),
        workspace: usize::try_from(*workspace).unwrap_or(usize::MAX),
    })
}
