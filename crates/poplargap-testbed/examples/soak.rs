//! Runs real daemons under load and random faults and reports violations of what must always hold.

use {
    mimalloc::MiMalloc,
    pico_args::Arguments,
    poplargap_testbed::{
        site::ProcessSite,
        soak::{SoakSettings, run_soak},
    },
    std::{error::Error, process::ExitCode, time::Duration},
};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const HELP: &str = "\
Runs real daemons under load and random faults and checks what must always hold.

Build the workspace first, with the same profile. Exits with 1 on any violation.

Options:
  --log-level LEVEL    least severe lines that the daemons write (default: critical)
  --minutes COUNT      length of the run in minutes (default: 3)
  --seconds COUNT      length of the run in seconds, in place of minutes
  --seed NUMBER        seed of load and faults (default: 1)
";

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the soak and returns whether it found no violation.
async fn run() -> Result<bool, Box<dyn Error>> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(true);
    }
    let settings = read_settings(&mut arguments)?;
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument `{}`", argument.display()).into());
    }
    let program = ProcessSite::program("poplargapd")?;
    println!("seed {}", settings.seed);
    let report = run_soak(&settings, &program).await?;
    print!("{report}");
    Ok(report.violations.is_empty())
}

fn read_settings(arguments: &mut Arguments) -> Result<SoakSettings, pico_args::Error> {
    let minutes: f64 = arguments.opt_value_from_str("--minutes")?.unwrap_or(3.0);
    let seconds: Option<f64> = arguments.opt_value_from_str("--seconds")?;
    let log_level: Option<String> = arguments.opt_value_from_str("--log-level")?;
    let seconds = seconds.unwrap_or(minutes * 60.0);
    Ok(SoakSettings {
        duration: Duration::try_from_secs_f64(seconds).unwrap_or_default(),
        log_level: log_level.unwrap_or_else(|| "critical".to_owned()),
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
    })
}
