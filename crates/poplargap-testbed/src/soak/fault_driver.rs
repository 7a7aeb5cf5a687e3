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

const TICK: Duration = Duration::from_millis(25);
const EDIT_EVERY: Duration = Duration::from_secs(7);

/// What a fault that has begun waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultPhase {
    /// The daemon with this number closes.
    Closing(usize),
    /// The fault is on until its end.
    On,
    /// The daemon with this number gets ready since that time.
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
    /// Daemons whose turn is yet to come.
    pub(super) queue: VecDeque<usize>,
    /// Runs of a drained engine when it should get no more.
    pub(super) runs: Option<usize>,
}

/// Owns the site and the faults that are on.
#[derive(Debug)]
pub(super) struct FaultDriver {
    pub(super) active: Vec<ActiveFault>,
    pub(super) edited: Duration,
    pub(super) edits: u32,
    pub(super) events: mpsc::UnboundedSender<SoakEvent>,
    pub(super) plan: SitePlan,
    pub(super) ready: watch::Receiver<Vec<bool>>,
    pub(super) site: ProcessSite,
    pub(super) started: Instant,
    pub(super) states: watch::Sender<Vec<DaemonState>>,
    /// Addresses of engines that are stopped, by number.
    pub(super) stopped: HashMap<usize, EngineAddresses>,
    pub(super) store_faults: StoreFaults,
    pub(super) surge: watch::Sender<Option<usize>>,
}

impl FaultDriver {
    /// Runs the schedule to its end, all faults included, and returns the site.
    pub(super) async fn run(mut self, schedule: FaultSchedule, duration: Duration) -> ProcessSite {
        let mut plans = VecDeque::from(schedule.0);
        while self.now() < duration || !self.active.is_empty() {
            while plans.front().is_some_and(|plan| plan.at <= self.now()) {
                let Some(plan) = plans.pop_front() else { break };
                self.begin(plan).await;
            }
            for mut fault in std::mem::take(&mut self.active) {
                if self.step(&mut fault).await {
                    self.note_end(&fault);
                } else {
                    self.active.push(fault);
                }
            }
            self.check_processes();
            if self.now() > self.edited + EDIT_EVERY && self.now() < duration {
                self.edited = self.now();
                self.edit_pool().await;
            }
            time::sleep(TICK).await;
        }
        self.site
    }

    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns whether a fault of a kind that `matches` is on.
    pub(super) fn is_on(&self, matches: impl Fn(FaultKind) -> bool) -> bool {
        self.active.iter().any(|fault| matches(fault.kind))
    }

    pub(super) fn report(&self, kind: ViolationKind, detail: String) {
        let at = self.now();
        // A collector that is gone has no use for further findings.
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
            phase: FaultPhase::On,
            queue: VecDeque::new(),
            runs: None,
        };
        let applied = match plan.kind {
            FaultKind::DaemonKill
            | FaultKind::DaemonPause
            | FaultKind::GracefulRestart
            | FaultKind::RollingRestart => self.begin_at_daemon(&mut fault, plan.target),
            FaultKind::CatalogueDrain | FaultKind::VmLeaving => {
                self.begin_leaving(&mut fault, plan.target).await
            }
            FaultKind::EngineDeath
            | FaultKind::EngineRefusal
            | FaultKind::EngineSilence
            | FaultKind::StreamCut => self.begin_at_engine(&mut fault, plan.target).await,
            FaultKind::DeskAnswerLoss | FaultKind::DeskSilence => {
                self.begin_at_desk(&mut fault, plan.target).await
            }
            FaultKind::EditRace => self.race().await,
            FaultKind::WorkspaceSurge => {
                let workspace = plan.target % self.plan.workspaces.len();
                self.surge.send_replace(Some(workspace));
                true
            }
            _ => self.begin_at_platform(&mut fault, plan.target).await,
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

    /// Moves a fault on; returns whether it is over.
    async fn step(&mut self, fault: &mut ActiveFault) -> bool {
        match fault.kind {
            FaultKind::DaemonKill
            | FaultKind::DaemonPause
            | FaultKind::GracefulRestart
            | FaultKind::RollingRestart => self.step_daemon(fault),
            FaultKind::CatalogueDrain | FaultKind::VmLeaving => self.step_leaving(fault).await,
            _ if self.now() < fault.end => false,
            FaultKind::EngineDeath
            | FaultKind::EngineRefusal
            | FaultKind::EngineSilence
            | FaultKind::StreamCut => self.end_at_engine(fault).await,
            FaultKind::DeskAnswerLoss | FaultKind::DeskSilence => {
                self.end_at_desk(fault).await;
                true
            }
            FaultKind::EditRace => true,
            FaultKind::WorkspaceSurge => {
                self.surge.send_replace(None);
                true
            }
            _ => {
                self.end_at_platform(fault).await;
                true
            }
        }
    }

    fn note_end(&self, fault: &ActiveFault) {
        let end = self.now();
        println!("{:8.2} s  end {}", end.as_secs_f64(), fault.kind);
        // A collector that is gone has no use for further windows.
        let _sent = self.events.send(SoakEvent::Window(FaultWindow {
            begin: fault.begin,
            daemon: fault.daemon,
            end,
            kind: fault.kind,
        }));
    }
}
