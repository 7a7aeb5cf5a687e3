//! Begins and ends the planned faults.

use {
    super::{
        FaultKind, FaultPlan, FaultSchedule, FaultWindow, Violation, ViolationKind,
        daemon_state::DaemonState, run_collector::SoakEvent,
    },
    crate::{
        site::{EngineAddresses, ProcessSite, SitePlan},
        store::StoreFaults,
    },
    poplargap_core::collections::HashMap,
    std::{collections::VecDeque, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{self, Instant},
    },
};

const STEP_INTERVAL: Duration = Duration::from_millis(25);
const EDIT_INTERVAL: Duration = Duration::from_secs(7);

/// State of a fault that has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultPhase {
    /// The daemon with this number is closing.
    Closing(usize),
    /// The fault is active until its end.
    Active,
    /// The daemon with this number was started or resumed at this time, since the start of the
    /// soak, and is not yet ready.
    Starting(usize, Duration),
}

/// A fault that has begun.
#[derive(Clone, Debug)]
pub(super) struct ActiveFault {
    pub(super) begin: Duration,
    pub(super) daemon: Option<usize>,
    pub(super) engine: Option<usize>,
    pub(super) end: Duration,
    pub(super) kind: FaultKind,
    pub(super) phase: FaultPhase,
    /// Daemons that a rolling restart has not yet closed.
    pub(super) remaining_daemons: VecDeque<usize>,
    /// Number of runs of a leaving engine at the time after which it must get no new work.
    pub(super) run_count: Option<usize>,
}

/// Driver of the planned faults; owns the site and the active faults.
#[derive(Debug)]
pub(super) struct FaultDriver {
    pub(super) active: Vec<ActiveFault>,
    pub(super) last_edit: Duration,
    pub(super) edits: u32,
    pub(super) events: mpsc::UnboundedSender<SoakEvent>,
    pub(super) plan: SitePlan,
    pub(super) ready: watch::Receiver<Vec<bool>>,
    pub(super) site: ProcessSite,
    pub(super) started: Instant,
    pub(super) states: watch::Sender<Vec<DaemonState>>,
    /// Addresses of stopped engines by their number.
    pub(super) stopped: HashMap<usize, EngineAddresses>,
    pub(super) store_faults: StoreFaults,
    pub(super) surge: watch::Sender<Option<usize>>,
}

impl FaultDriver {
    /// Runs the schedule until all its faults have ended and returns the site.
    pub(super) async fn run(mut self, schedule: FaultSchedule, duration: Duration) -> ProcessSite {
        let mut plans = VecDeque::from(schedule.0);
        while self.now() < duration || !self.active.is_empty() {
            while plans.front().is_some_and(|plan| plan.at <= self.now()) {
                let Some(plan) = plans.pop_front() else { break };
                self.begin(plan).await;
            }
            for mut fault in std::mem::take(&mut self.active) {
                if self.step(&mut fault).await {
                    self.record_end(&fault);
                } else {
                    self.active.push(fault);
                }
            }
            self.check_processes();
            if self.now() > self.last_edit + EDIT_INTERVAL && self.now() < duration {
                self.last_edit = self.now();
                self.edit_pool().await;
            }
            time::sleep(STEP_INTERVAL).await;
        }
        self.site
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns whether a fault whose kind `matches` is active.
    pub(super) fn is_active(&self, matches: impl Fn(FaultKind) -> bool) -> bool {
        self.active.iter().any(|fault| matches(fault.kind))
    }

    pub(super) fn report(&self, kind: ViolationKind, detail: String) {
        let at = self.now();
        // The send fails only after the collector has ended.
        let _sent = self
            .events
            .send(SoakEvent::Violation(Violation { at, detail, kind }));
    }

    async fn begin(&mut self, plan: FaultPlan) {
        let begin = self.now();
        let mut fault = ActiveFault {
            begin,
            daemon: None,
            end: begin + plan.len,
            engine: None,
            kind: plan.kind,
            phase: FaultPhase::Active,
            remaining_daemons: VecDeque::new(),
            run_count: None,
        };
        let applied = match plan.kind {
            FaultKind::DaemonKill
            | FaultKind::DaemonPause
            | FaultKind::GracefulRestart
            | FaultKind::RollingRestart => self.begin_daemon_fault(&mut fault, plan.target),
            FaultKind::CatalogueDrain | FaultKind::VmLeaving => {
                self.begin_leaving(&mut fault, plan.target).await
            }
            FaultKind::EngineDeath
            | FaultKind::EngineRefusal
            | FaultKind::EngineSilence
            | FaultKind::StreamCut => self.begin_engine_fault(&mut fault, plan.target).await,
            FaultKind::DeskAnswerLoss | FaultKind::DeskSilence => {
                self.begin_desk_fault(&mut fault, plan.target).await
            }
            FaultKind::EditRace => self.race_edits().await,
            FaultKind::WorkspaceSurge => {
                let workspace = plan.target % self.plan.workspaces.len();
                self.surge.send_replace(Some(workspace));
                true
            }
            _ => self.begin_platform_fault(&mut fault, plan.target).await,
        };
        let place = match (fault.daemon, fault.engine) {
            (Some(daemon), _) => format!(" at daemon {daemon}"),
            (None, Some(engine)) => format!(" at upstream {engine}"),
            (None, None) => String::new(),
        };
        let seconds = begin.as_secs_f64();
        if applied {
            println!("{seconds:8.2} s  begin {}{place}", plan.kind);
            self.active.push(fault);
        } else {
            println!(
                "{seconds:8.2} s  skip {}, what it needs is at fault",
                plan.kind
            );
        }
    }

    /// Advances a fault; returns whether it has ended.
    async fn step(&mut self, fault: &mut ActiveFault) -> bool {
        match fault.kind {
            FaultKind::DaemonKill
            | FaultKind::DaemonPause
            | FaultKind::GracefulRestart
            | FaultKind::RollingRestart => self.step_daemon_fault(fault),
            FaultKind::CatalogueDrain | FaultKind::VmLeaving => self.step_leaving(fault).await,
            _ if self.now() < fault.end => false,
            FaultKind::EngineDeath
            | FaultKind::EngineRefusal
            | FaultKind::EngineSilence
            | FaultKind::StreamCut => self.end_engine_fault(fault).await,
            FaultKind::DeskAnswerLoss | FaultKind::DeskSilence => {
                self.end_desk_fault(fault).await;
                true
            }
            FaultKind::EditRace => true,
            FaultKind::WorkspaceSurge => {
                self.surge.send_replace(None);
                true
            }
            _ => {
                self.end_platform_fault(fault).await;
                true
            }
        }
    }

    fn record_end(&self, fault: &ActiveFault) {
        let end = self.now();
        println!("{:8.2} s  end {}", end.as_secs_f64(), fault.kind);
        // The send fails only after the collector has ended.
        let _sent = self.events.send(SoakEvent::Window(FaultWindow {
            begin: fault.begin,
            daemon: fault.daemon,
            end,
            kind: fault.kind,
        }));
    }
}
