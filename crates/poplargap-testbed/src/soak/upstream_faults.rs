//! Faults of engines and desks.

use {
    super::{
        FaultKind, ViolationKind,
        catalogue_edit::upstream_declaration,
        fault_driver::{ActiveFault, FaultDriver},
    },
    crate::{engine::EngineStandIn, fault::FaultSettings},
    poplargap_core::catalogue::UpstreamState,
    poplargap_store::VmState,
    std::{net::SocketAddr, time::Duration},
};

/// Time after the begin of leaving in which an upstream may still get new work.
const LEAVE_MAX: Duration = Duration::from_secs(3);

/// Number of events after which an engine cuts a stream.
const STREAM_EVENTS: u64 = 10;

impl FaultDriver {
    /// Begins the fault at the first engine without one, counted from `target`; returns whether
    /// that worked.
    pub(super) async fn begin_engine_fault(
        &mut self,
        fault: &mut ActiveFault,
        target: usize,
    ) -> bool {
        let Some(engine) = self.engine_without_fault(target) else {
            return false;
        };
        fault.engine = Some(engine);
        let settings = match fault.kind {
            FaultKind::EngineDeath => {
                let Some(address) = self.site.upstreams().stop_engine(engine).await else {
                    return false;
                };
                self.stopped.insert(engine, address);
                return true;
            }
            FaultKind::EngineRefusal => FaultSettings {
                refuse: true,
                ..FaultSettings::default()
            },
            FaultKind::EngineSilence => FaultSettings {
                silent: true,
                ..FaultSettings::default()
            },
            _ => FaultSettings {
                stop_after_events: Some(STREAM_EVENTS),
                ..FaultSettings::default()
            },
        };
        self.set_engine_faults(engine, settings).await;
        true
    }

    /// Ends the fault of an engine; returns false when a stopped engine couldn't be restarted yet.
    pub(super) async fn end_engine_fault(&mut self, fault: &ActiveFault) -> bool {
        let Some(engine) = fault.engine else {
            return true;
        };
        let Some(address) = self.stopped.get(&engine).copied() else {
            self.set_engine_faults(engine, FaultSettings::default())
                .await;
            return true;
        };
        // The operating system may keep the address in use for a short time; the next step retries.
        let started = self.site.upstreams().restart_engine(engine, address).await;
        if started.is_ok() {
            self.stopped.remove(&engine);
        }
        started.is_ok()
    }

    pub(super) async fn begin_desk_fault(
        &mut self,
        fault: &mut ActiveFault,
        target: usize,
    ) -> bool {
        let desks = &self.site.upstreams().desks;
        let desk = target % desks.len();
        let settings = FaultSettings {
            drop_answer: fault.kind == FaultKind::DeskAnswerLoss,
            silent: fault.kind == FaultKind::DeskSilence,
            ..FaultSettings::default()
        };
        desks[desk].set_faults(settings).await;
        fault.engine = Some(desk);
        true
    }

    pub(super) async fn end_desk_fault(&mut self, fault: &ActiveFault) {
        if let Some(desk) = fault.engine {
            let desks = &self.site.upstreams().desks;
            desks[desk].set_faults(FaultSettings::default()).await;
        }
    }

    /// Marks an engine as draining or its VM as leaving; returns whether that worked. Faults that
    /// delay the change rule it out.
    pub(super) async fn begin_leaving(&mut self, fault: &mut ActiveFault, target: usize) -> bool {
        let delays_leaving = |kind: FaultKind| kind.affects_store() || kind == FaultKind::VmLag;
        if self.is_active(delays_leaving) {
            return false;
        }
        let Some(engine) = self.engine_without_fault(target) else {
            return false;
        };
        fault.engine = Some(engine);
        self.set_leaving(fault, engine, true).await
    }

    /// Checks that a leaving engine gets no new work, and puts it back into service at the end of
    /// the fault; returns whether the fault has ended.
    pub(super) async fn step_leaving(&mut self, fault: &mut ActiveFault) -> bool {
        let Some(engine) = fault.engine else {
            return true;
        };
        let now = self.now();
        let delays_leaving = |kind: FaultKind| kind.affects_store() || kind == FaultKind::VmLag;
        if fault.run_count.is_none()
            && now >= fault.begin + LEAVE_MAX
            && !self.is_active(delays_leaving)
        {
            fault.run_count = Some(self.runs_of(engine).await.len());
        }
        if now < fault.end {
            return false;
        }
        if let Some(before) = fault.run_count.take() {
            let runs = self.runs_of(engine).await;
            let late = runs.get(before..).unwrap_or_default();
            if !late.is_empty() {
                let detail = format!("engine {engine} after {}: {late:?}", fault.kind);
                self.report(ViolationKind::WorkAfterDrain, detail);
            }
        }
        self.set_leaving(fault, engine, false).await
    }

    async fn set_leaving(&mut self, fault: &ActiveFault, engine: usize, leaving: bool) -> bool {
        let name = self.plan.upstream_name(&self.plan.engines, engine);
        if fault.kind == FaultKind::VmLeaving {
            let state = if leaving {
                VmState::Leaving
            } else {
                VmState::Live
            };
            return self.site.mark_vm(&name, state).await.is_ok();
        }
        let state = if leaving {
            UpstreamState::Draining
        } else {
            UpstreamState::Serving
        };
        let Some(address) = self.engine_address(engine) else {
            return false;
        };
        let text = upstream_declaration(&self.plan, engine, address, state);
        self.apply(&text).await
    }

    fn engine_address(&mut self, engine: usize) -> Option<SocketAddr> {
        let engines = &self.site.upstreams().engines;
        engines[engine].as_ref().map(EngineStandIn::address)
    }

    async fn runs_of(&mut self, engine: usize) -> Vec<String> {
        let Some(engine) = &self.site.upstreams().engines[engine] else {
            return Vec::new();
        };
        let ledger = engine.ledger().await.unwrap_or_default();
        ledger.runs.into_iter().map(|run| run.request_id).collect()
    }

    async fn set_engine_faults(&mut self, engine: usize, settings: FaultSettings) {
        if let Some(engine) = &self.site.upstreams().engines[engine] {
            engine.set_faults(settings).await;
        }
    }

    /// Returns the first engine without a fault, counted from `target`.
    fn engine_without_fault(&self, target: usize) -> Option<usize> {
        let count = self.plan.engines.upstreams;
        let mut candidates = (0..count).map(|offset| (target % count + offset) % count);
        let has_fault =
            |engine: usize| self.active.iter().any(|fault| fault.engine == Some(engine));
        candidates.find(|engine| !has_fault(*engine))
    }
}
