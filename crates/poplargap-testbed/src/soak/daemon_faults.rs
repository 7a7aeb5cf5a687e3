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
    /// Begins a fault of a daemon that has none; returns whether there is one.
    pub(super) fn begin_at_daemon(&mut self, fault: &mut ActiveFault, target: usize) -> bool {
        let count = self.site.daemons.len();
        let mut turn = (0..count).map(|offset| (target % count + offset) % count);
        let Some(daemon) = turn.find(|daemon| !self.is_daemon_busy(*daemon)) else {
            return false;
        };
        fault.daemon = Some(daemon);
        match fault.kind {
            FaultKind::DaemonKill => {
                self.set_steady(daemon, false);
                self.site.daemons[daemon].kill();
            }
            FaultKind::DaemonPause => {
                self.set_steady(daemon, false);
                self.signal(daemon, "STOP");
            }
            FaultKind::RollingRestart => {
                let data_centre = self.site.daemons[daemon].data_centre.clone();
                let others = (0..count).filter(|other| *other != daemon);
                fault.queue = others
                    .filter(|other| self.site.daemons[*other].data_centre == data_centre)
                    .collect();
                self.close_daemon(fault, daemon);
            }
            _ => self.close_daemon(fault, daemon),
        }
        true
    }

    /// Moves a daemon's fault on; returns whether it is over.
    pub(super) fn step_daemon(&mut self, fault: &mut ActiveFault) -> bool {
        let now = self.now();
        match fault.phase {
            FaultPhase::Closing(daemon) => {
                self.step_closing(fault, daemon);
                false
            }
            FaultPhase::On if now < fault.end => false,
            FaultPhase::On => {
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
                self.set_steady(daemon, true);
                let Some(next) = self.next_in_turn(fault) else {
                    return true;
                };
                self.close_daemon(fault, next);
                false
            }
        }
    }

    /// Reports and restarts processes that ended by themselves.
    pub(super) fn check_processes(&mut self) {
        for daemon in 0..self.site.daemons.len() {
            if self.is_daemon_busy(daemon) || self.site.daemons[daemon].is_running() {
                continue;
            }
            let status = self.site.daemons[daemon].exit_status();
            let detail = format!("daemon {daemon}: {status:?}");
            self.report(ViolationKind::ProcessEnded, detail);
            self.start_daemon(daemon);
        }
    }

    fn next_in_turn(&mut self, fault: &mut ActiveFault) -> Option<usize> {
        while let Some(next) = fault.queue.pop_front() {
            if !self.is_daemon_busy(next) {
                return Some(next);
            }
        }
        None
    }

    fn is_daemon_busy(&self, daemon: usize) -> bool {
        let hit = |fault: &ActiveFault| match fault.phase {
            FaultPhase::Closing(number) | FaultPhase::Starting(number, _) => number == daemon,
            FaultPhase::On => fault.daemon == Some(daemon) && fault.kind.stops_daemon(),
        };
        self.active.iter().any(hit)
    }

    fn close_daemon(&mut self, fault: &mut ActiveFault, daemon: usize) {
        self.set_steady(daemon, false);
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

    fn set_steady(&self, daemon: usize, steady: bool) {
        let change = |states: &mut Vec<DaemonState>| states[daemon].steady = steady;
        self.states.send_modify(change);
    }
}
