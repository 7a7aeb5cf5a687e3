//! Runs the daemon as a forwarding proxy on the users' platform.

use {
    crate::{
        log,
        run::{EXIT_FAILED, EXIT_INPUT},
    },
    poplargap_forward::FrontProxy,
    poplargap_platform::{
        BootError, BootSettings, PlatformDialect, SETTINGS_VARIABLE, StoreClient,
    },
    slog::{Level, Logger, error, info, o, warn},
    std::{
        env,
        path::{Path, PathBuf},
        process::ExitCode,
        sync::mpsc,
        thread,
        time::Duration,
    },
    tokio::{
        runtime::Builder,
        signal::unix::{Signal, SignalKind, signal},
    },
};

/// Longest wait for the last lines of the log to be written.
const LOG_CLOSE_MAX: Duration = Duration::from_millis(200);

/// Forwards requests until the platform terminates the process.
pub(crate) fn serve() -> ExitCode {
    let Some(path) = env::var_os(SETTINGS_VARIABLE).map(PathBuf::from) else {
        eprintln!("poplargapd: the variable {SETTINGS_VARIABLE} names no settings file");
        return ExitCode::from(EXIT_INPUT);
    };
    let settings = match BootSettings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("poplargapd: {error}");
            return ExitCode::from(EXIT_INPUT);
        }
    };
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("poplargapd: the runtime can't start: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let log = log::create_output(Level::Info).new(o!("vm" => settings.name.clone()));
    let code = runtime.block_on(serve_until_signal(settings, &path, log.clone()));
    drop(runtime);
    close_log(log);
    code
}

/// Closes the log, waiting up to `LOG_CLOSE_MAX` since its reader may have stalled.
fn close_log(log: Logger) {
    let (sender, closed) = mpsc::channel();
    thread::spawn(move || {
        drop(log);
        sender.send(())
    });
    if let Err(problem) = closed.recv_timeout(LOG_CLOSE_MAX) {
        eprintln!("poplargapd: the log's last lines aren't written: {problem}");
    }
}

async fn serve_until_signal(settings: BootSettings, path: &Path, log: Logger) -> ExitCode {
    let store = StoreClient::new(settings.store, settings.store_timeout);
    let store = match store {
        Ok(store) => store,
        Err(problem) => {
            error!(log, "the store client can't be set up"; "error" => %problem);
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let (Ok(mut hangup), Ok(mut terminate)) = (
        signal(SignalKind::hangup()),
        signal(SignalKind::terminate()),
    ) else {
        error!(log, "signals can't be handled");
        return ExitCode::from(EXIT_FAILED);
    };
    let proxy = FrontProxy::start(settings.front, PlatformDialect, store, log.clone()).await;
    let proxy = match proxy {
        Ok(proxy) => proxy,
        Err(problem) => {
            error!(log, "the proxy can't start"; "error" => %problem);
            return ExitCode::from(EXIT_FAILED);
        }
    };
    wait_for_termination(&mut hangup, &mut terminate, path, &log).await;
    proxy.close().await;
    ExitCode::SUCCESS
}

/// Waits for the signal to terminate. On a hangup the settings file is only validated.
async fn wait_for_termination(
    hangup: &mut Signal,
    terminate: &mut Signal,
    path: &Path,
    log: &Logger,
) {
    loop {
        tokio::select! {
            _ = hangup.recv() => log_reload(BootSettings::read(path), log),
            _ = terminate.recv() => return,
        }
    }
}

fn log_reload(settings: Result<BootSettings, BootError>, log: &Logger) {
    match settings {
        Ok(_) => info!(
            log,
            "settings are valid; changes take effect at the next start"
        ),
        Err(problem) => warn!(log, "settings can't be read"; "error" => %problem),
    }
}
