//! Runs one desk stand-in until the process is interrupted.

use {
    pico_args::Arguments,
    poplargap_testbed::desk::{DeskSettings, DeskStandIn},
    std::{error::Error, net::SocketAddr, process::ExitCode, time::Duration},
};

const HELP: &str = "\
Runs a desk stand-in and prints its address for work, then its control address.

Options:
  --control-listen ADDRESS  address of the control paths
  --listen ADDRESS          address for work
  --service-time-ms TIME    time of each call
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
    let mut settings = DeskSettings::default();
    if let Some(address) = arguments.opt_value_from_str("--control-listen")? {
        settings.control_listen = address;
    }
    if let Some(address) = arguments.opt_value_from_str::<_, SocketAddr>("--listen")? {
        settings.listen = address;
    }
    if let Some(time_ms) = arguments.opt_value_from_str("--service-time-ms")? {
        settings.service_time = Duration::from_millis(time_ms);
    }
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument `{}`", argument.display()).into());
    }
    let desk = DeskStandIn::start(settings).await?;
    println!("{}", desk.address());
    println!("{}", desk.control_address());
    tokio::signal::ctrl_c().await?;
    let ledger = desk.close().await;
    eprintln!("{} runs", ledger.runs.len());
    Ok(())
}
