//! Runs the daemon as a process: command line, settings, signals, exit code.

use {
    crate::{
        args::{DaemonCommand, HELP},
        daemon::{CloseReport, Daemon},
        log, platform_run,
    },
    poplargap_core::settings::DaemonSettings,
    std::{ffi::OsString, fs, path::Path, process::ExitCode},
    tokio::{
        runtime::Runtime,
        signal::unix::{Signal, SignalKind, signal},
    },
};

/// Exit code when the daemon failed or aborted a request.
pub(crate) const EXIT_FAILED: u8 = 1;

/// Exit code when the command line or the settings are invalid.
pub(crate) const EXIT_INPUT: u8 = 2;

/// Runs the command that `args` names and returns the process's exit code.
#[must_use]
pub fn run(args: Vec<OsString>) -> ExitCode {
    match DaemonCommand::try_from(args) {
        Ok(DaemonCommand::Check(file)) => check(&file),
        Ok(DaemonCommand::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(DaemonCommand::Platform) => platform_run::serve(),
        Ok(DaemonCommand::Run(file)) => serve(&file),
        Ok(DaemonCommand::Version) => {
            println!("poplargapd {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("poplargapd: {error}");
            ExitCode::from(EXIT_INPUT)
        }
    }
}

fn read(file: &Path) -> Result<DaemonSettings, String> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| format!("{name}: {error}\n"))?;
    DaemonSettings::read(&name, &text).map_err(|findings| findings.to_string())
}

fn check(file: &Path) -> ExitCode {
    match read(file) {
        Ok(_) => {
            println!("{}: the settings are right", file.display());
            ExitCode::SUCCESS
        }
        Err(findings) => {
            eprint!("{findings}");
            ExitCode::from(EXIT_INPUT)
        }
    }
}

fn serve(file: &Path) -> ExitCode {
    let settings = match read(file) {
        Ok(settings) => settings,
        Err(findings) => {
            eprint!("{findings}");
            return ExitCode::from(EXIT_INPUT);
        }
    };
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("poplargapd: the runtime can't start: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    runtime.block_on(serve_until_signal(settings))
}

async fn serve_until_signal(settings: DaemonSettings) -> ExitCode {
    let log = log::create(&settings.log);
    let daemon = match Daemon::start(settings, log).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("poplargapd: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let (Ok(mut interrupt), Ok(mut terminate)) = (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) else {
        eprintln!("poplargapd: signals can't be handled");
        return ExitCode::from(EXIT_FAILED);
    };
    next_signal(&mut interrupt, &mut terminate).await;
    let gauge = daemon.in_flight_gauge();
    tokio::select! {
        report = daemon.close() => exit(report),
        () = next_signal(&mut interrupt, &mut terminate) => {
            eprintln!("poplargapd: second signal, {} requests cut off", gauge());
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn next_signal(interrupt: &mut Signal, terminate: &mut Signal) {
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

fn exit(report: CloseReport) -> ExitCode {
    if report.aborted_requests == 0 {
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "poplargapd: {} requests cut off at the end of the drain time",
        report.aborted_requests
    );
    ExitCode::from(EXIT_FAILED)
}
