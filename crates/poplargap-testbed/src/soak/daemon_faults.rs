//! Faults of daemons' processes.

use {
    super::{
        FaultKind, ViolationKind,
        daemon_state::DaemonState,
        fault_driver::{ActiveFault, FaultDriver, FaultPhase},
    },
    std::time::Duration,
};

const CLOSE_MAX: Duration = Duration::from_secs(70);
const READY_MAX: Duration = Duration::from_secs(15);

impl FaultDriver {
    /// Begins the fault at the first daemon without one, counted from `target`; returns whether
    /// there is such a daemon.
    pub(super) fn begin_daemon_fault(&mut self, fault: &mut ActiveFault, target: usize) -> bool {
        let count = self.site.daemons.len();
        let mut candidates = (0..count).map(|offset| (target % count + offset) % count);
        let Some(daemon) = candidates.find(|daemon| !self.has_daemon_fault(*daemon)) else {
            return false;
        };
        fault.daemon = Some(daemon);
        match fault.kind {
            FaultKind::DaemonKill => {
                self.set_should_answer(daemon, false);
                self.site.daemons[daemon].kill();
            }
            FaultKind::DaemonPause => {
                self.set_should_answer(daemon, false);
                self.signal(daemon, "STOP");
            }
            FaultKind::RollingRestart => {
                let data_centre = self.site.daemons[daemon].data_centre.clone();
                let others = (0..count).filter(|other| *other != daemon);
                fault.remaining_daemons = others
                    .filter(|other| self.site.daemons[*other].data_centre == data_centre)
                    .collect();
                self.close_daemon(fault, daemon);
            }
            _ => self.close_daemon(fault, daemon),
        }
        true
    }

    /// Advances the fault of a daemon; returns whether it has ended.
    pub(super) fn step_daemon_fault(&mut self, fault: &mut ActiveFault) -> bool {
        let now = self.now();
        match fault.phase {
            FaultPhase::Closing(daemon) => {
                self.step_closing(fault, daemon);
                false
            }
            FaultPhase::Active if now < fault.end => false,
            FaultPhase::Active => {
                let Some(daemon) = fault.daemon else {
                    return true;
                };
                if fault.kind == FaultKind::DaemonPause {
                    self.signal(daemon, "CONT");
                } else {
                    self.start_daemon(daemon);
                }
                fault.phase = FaultPhase::Starting(daemon, now);
                false
            }
            FaultPhase::Starting(daemon, since) => {
                let ready = self.ready.borrow()[daemon];
                if !ready && now < since + READY_MAX {
                    return false;
                }
                if !ready {
                    let detail = format!("daemon {daemon} didn't get ready after {}", fault.kind);
                    self.report(ViolationKind::SoakFailed, detail);
                }
                self.set_should_answer(daemon, true);
                let Some(next) = self.next_in_turn(fault) else {
                    return true;
                };
                self.close_daemon(fault, next);
                false
            }
        }
    }

    /// Reports and restarts processes that exited unexpectedly.
    pub(super) fn check_processes(&mut self) {
        for daemon in 0..self.site.daemons.len() {
            if self.has_daemon_fault(daemon) || self.site.daemons[daemon].is_running() {
                continue;
            }
            let status = self.site.daemons[daemon].exit_status();
            let detail = format!("daemon {daemon}: {status:?}");
            self.report(ViolationKind::ProcessEnded, detail);
            self.start_daemon(daemon);
        }
    }

    fn next_in_turn(&mut self, fault: &mut ActiveFault) -> Option<usize> {
        while let Some(next) = fault.remaining_daemons.pop_front() {
            if !self.has_daemon_fault(next) {
                return Some(next);
            }
        }
        None
    }

    fn has_daemon_fault(&self, daemon: usize) -> bool {
        let hit = |fault: &ActiveFault| match fault.phase {
            FaultPhase::Closing(number) | FaultPhase::Starting(number, _) => number == daemon,
            FaultPhase::Active => fault.daemon == Some(daemon) && fault.kind.stops_daemon(),
        };
        self.active.iter().any(hit)
    }

    fn close_daemon(&mut self, fault: &mut ActiveFault, daemon: usize) {
        self.set_should_answer(daemon, false);
        self.signal(daemon, "TERM");
        fault.end = self.now() + CLOSE_MAX;
        fault.phase = FaultPhase::Closing(daemon);
    }

    fn step_closing(&mut self, fault: &mut ActiveFault, daemon: usize) {
        let now = self.now();
        let process = &mut self.site.daemons[daemon];
        let status = process.exit_status();
        if status.is_none() && now < fault.end {
            return;
        }
        process.kill();
        if !status.is_some_and(|status| status.success()) {
            let detail = format!("daemon {daemon} closed with {status:?}");
            self.report(ViolationKind::GracefulExit, detail);
        }
        self.start_daemon(daemon);
        fault.phase = FaultPhase::Starting(daemon, now);
    }

    fn start_daemon(&mut self, daemon: usize) {
        if let Err(error) = self.site.daemons[daemon].start() {
            self.report(ViolationKind::SoakFailed, error.to_string());
        }
        self.states
            .send_modify(|states| states[daemon].generation += 1);
    }

    fn signal(&self, daemon: usize, name: &str) {
        if let Err(error) = self.site.daemons[daemon].signal(name) {
            self.report(ViolationKind::SoakFailed, error.to_string());
        }
    }

    fn set_should_answer(&self, daemon: usize, should_answer: bool) {
        let change = |states: &mut Vec<DaemonState>| states[daemon].should_answer = should_answer;
        self.states.send_modify(change);
    }
}
