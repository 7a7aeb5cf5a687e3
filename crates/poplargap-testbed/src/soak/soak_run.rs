//! Run of a soak: starts the site, drives load and faults, and checks the results.

use {
    super::{
        FaultSchedule, SoakReport, SoakSettings,
        call_check::CallCheck,
        daemon_state::DaemonState,
        fault_driver::FaultDriver,
        ledger_check::LedgerCheck,
        load_context::LoadContext,
        load_generator::LoadGenerator,
        run_collector::{RunCollector, SoakEvent},
        status_watch::StatusWatch,
    },
    crate::{
        caller::{CallerClient, CallerError},
        site::{ProcessSite, SiteError, SitePlan},
        store::StoreFaults,
    },
    poplargap_core::collections::{HashMap, HashMapExt},
    std::{net::SocketAddr, path::Path, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::Instant,
    },
};

/// Timeout of callers; longer than the deadlines of all classes.
const CALL_TIMEOUT: Duration = Duration::from_secs(50);

/// Senders of the channels between the tasks of a soak, and the start of the run.
#[derive(Debug)]
struct SoakChannels {
    events: mpsc::UnboundedSender<SoakEvent>,
    ready: watch::Sender<Vec<bool>>,
    started: Instant,
    states: watch::Sender<Vec<DaemonState>>,
    surge: watch::Sender<Option<usize>>,
}

/// Runs a soak with daemons started from the executable `program` and returns its report.
///
/// # Errors
///
/// Returns an error when the site or the callers' clients can't start.
///
/// # Panics
///
/// Panics when a task of the soak panics.
pub async fn run_soak(settings: &SoakSettings, program: &Path) -> Result<SoakReport, SiteError> {
    let plan = settings.plan();
    let site = ProcessSite::start(&plan, program).await?;
    let callers: Vec<SocketAddr> = site.daemons.iter().map(|daemon| daemon.callers).collect();
    let operators: Vec<SocketAddr> = site.daemons.iter().map(|daemon| daemon.operators).collect();
    let clients = clients(&plan).map_err(|error| SiteError::Daemon(error.to_string()))?;
    let (events, receiver) = mpsc::unbounded_channel();
    let initial_state = DaemonState {
        generation: 1,
        should_answer: true,
    };
    let channels = SoakChannels {
        events,
        ready: watch::Sender::new(vec![true; callers.len()]),
        started: Instant::now(),
        states: watch::Sender::new(vec![initial_state; callers.len()]),
        surge: watch::Sender::new(None),
    };
    let context = LoadContext {
        clients,
        daemons: callers,
        events: channels.events.clone(),
        ready: channels.ready.subscribe(),
        started: channels.started,
        surge: channels.surge.subscribe(),
    };
    let driver = driver(plan, site, &channels);
    let watch = StatusWatch {
        events: channels.events,
        operators,
        ready: channels.ready,
        started: channels.started,
        states: channels.states.subscribe(),
    };
    drop(channels.states);
    drop(channels.surge);
    let collector = tokio::spawn(RunCollector::default().run(receiver));
    let watch = tokio::spawn(watch.run());
    let load = LoadGenerator::new(context, settings.seed).run(settings.duration);
    let load = tokio::spawn(load);
    let schedule = FaultSchedule::draw(settings.seed, settings.duration);
    let mut site = driver.run(schedule, settings.duration).await;
    load.await.expect("the load's task ends");
    watch.abort();
    // The watch runs until it is aborted, so joining it returns an error.
    let _aborted = watch.await;
    let mut run = collector.await.expect("the collector's task ends");
    let check = CallCheck {
        calls: &run.calls,
        windows: &run.windows,
    };
    let mut found = check.violations();
    let ledgers = LedgerCheck::read(site.upstreams()).await;
    found.extend(ledgers.violations(&run.calls, channels.started.elapsed()));
    run.violations.extend(found);
    site.close().await;
    Ok(SoakReport::new(settings.seed, run))
}

fn clients(plan: &SitePlan) -> Result<Vec<CallerClient>, CallerError> {
    plan.workspaces
        .iter()
        .map(|workspace| CallerClient::new(workspace.key.as_str(), CALL_TIMEOUT))
        .collect()
}

fn driver(plan: SitePlan, site: ProcessSite, channels: &SoakChannels) -> FaultDriver {
    FaultDriver {
        active: Vec::new(),
        last_edit: Duration::ZERO,
        edits: 0,
        events: channels.events.clone(),
        plan,
        ready: channels.ready.subscribe(),
        site,
        started: channels.started,
        states: channels.states.clone(),
        stopped: HashMap::new(),
        store_faults: StoreFaults::default(),
        surge: channels.surge.clone(),
    }
}
