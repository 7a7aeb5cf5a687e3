//! Runs one model engine stand-in until the process is interrupted.

use {
    pico_args::Arguments,
    poplargap_core::catalogue::FencingCheck,
    poplargap_testbed::engine::{EngineSettings, EngineStandIn},
    std::{error::Error, net::SocketAddr, num::NonZeroUsize, process::ExitCode, time::Duration},
};

const HELP: &str = "\
Runs a model engine stand-in and prints its address for work, then its control address.

Options:
  --block-tokens COUNT           tokens of one cache block
  --cache-blocks COUNT           blocks that the prefix cache holds
  --cache-event-lag-ms TIME      delay of cache events
  --control-listen ADDRESS       address of the control paths
  --decode-slope-us TIME         time that each further request adds to a decode step
  --decode-us-per-token TIME     time of a decode step with one request
  --fencing checked|ignored      whether old fencing numbers are refused
  --listen ADDRESS               address for work
  --load-lag-ms TIME             age of the load that is reported
  --prefill-us-per-token TIME    time to read one prompt token
  --slots COUNT                  requests that run at once
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
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument `{}`", argument.display()).into());
    }
    let engine = EngineStandIn::start(settings).await?;
    println!("{}", engine.address());
    println!("{}", engine.control_address());
    tokio::signal::ctrl_c().await?;
    let ledger = engine.close().await;
    eprintln!("{} runs", ledger.runs.len());
    Ok(())
}

fn read_settings(arguments: &mut Arguments) -> Result<EngineSettings, pico_args::Error> {
    let mut settings = EngineSettings::default();
    let mut set_duration = |name, field: &mut Duration, from_count: fn(u64) -> Duration| {
        if let Some(count) = arguments.opt_value_from_str(name)? {
            *field = from_count(count);
        }
        Ok::<(), pico_args::Error>(())
    };
    let (micros, millis) = (Duration::from_micros, Duration::from_millis);
    set_duration(
        "--cache-event-lag-ms",
        &mut settings.cache_event_lag,
        millis,
    )?;
    set_duration("--decode-slope-us", &mut settings.decode_slope, micros)?;
    set_duration("--decode-us-per-token", &mut settings.decode_base, micros)?;
    set_duration("--load-lag-ms", &mut settings.load_lag, millis)?;
    set_duration(
        "--prefill-us-per-token",
        &mut settings.prefill_per_token,
        micros,
    )?;
    if let Some(count) = arguments.opt_value_from_str::<_, NonZeroUsize>("--block-tokens")? {
        settings.block_tokens = count;
    }
    if let Some(count) = arguments.opt_value_from_str::<_, NonZeroUsize>("--cache-blocks")? {
        settings.cache_blocks = count;
    }
    if let Some(address) = arguments.opt_value_from_str("--control-listen")? {
        settings.control_listen = address;
    }
    if let Some(fencing) = arguments.opt_value_from_str::<_, FencingCheck>("--fencing")? {
        settings.fencing = fencing;
    }
    if let Some(address) = arguments.opt_value_from_str::<_, SocketAddr>("--listen")? {
        settings.listen = address;
    }
    if let Some(count) = arguments.opt_value_from_str("--slots")? {
        settings.slots = count;
    }
    Ok(settings)
}
