//! A running engine stand-in.

use {
    super::{
        EngineSettings, LedgerRecord, PeakRecord,
        engine_context::EngineContext,
        engine_routes::engine_routes,
        engine_task::{self, EngineMessage, EngineTaskError},
    },
    crate::fault::{BoundGate, ConnectionGate, FaultSettings, fault_routes},
    std::{io, net::SocketAddr},
    tokio::{sync::mpsc, task::JoinHandle},
    warp::Filter,
};

/// A simulated model engine that serves over HTTP until it is closed.
#[derive(Debug)]
pub struct EngineStandIn {
    context: EngineContext,
    gate: ConnectionGate,
    task: JoinHandle<()>,
}

impl EngineStandIn {
    /// Binds both addresses and starts an engine.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when an address can't be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        let gate = BoundGate::bind(settings.listen, settings.control_listen).await?;
        let (message_tx, message_rx) = mpsc::unbounded_channel();
        let context = EngineContext::new(settings.block_tokens, gate.faults(), message_tx);
        let task = tokio::spawn(engine_task::run(settings, gate.faults(), message_rx));
        let routes = fault_routes(gate.commands())
            .or(engine_routes(context.clone()))
            .unify();
        let gate = gate.serve(routes)?;
        Ok(Self {
            context,
            gate,
            task,
        })
    }

    /// Returns the bound address for requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Closes the engine immediately: cuts connections and cancels running requests.
    ///
    /// Returns the record of all runs and orders.
    ///
    /// # Panics
    ///
    /// Panics when the engine's task has already ended.
    pub async fn close(self) -> LedgerRecord {
        self.gate.close().await;
        let ledger = self.context.ask(|reply| EngineMessage::Ledger { reply });
        let ledger = ledger.await.expect("the engine's task is running");
        self.task.abort();
        // The result is the cancellation that `abort` caused.
        let _aborted = self.task.await;
        ledger
    }

    /// Returns the bound address that isn't affected by connection faults.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.gate.control_address()
    }

    /// Returns the record of all runs and orders so far.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine's task has ended.
    pub async fn ledger(&self) -> Result<LedgerRecord, EngineTaskError> {
        self.context
            .ask(|reply| EngineMessage::Ledger { reply })
            .await
    }

    /// Returns the current and highest number of requests in flight, without the reporting delay.
    ///
    /// `reset` restarts the highest number from the current one.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine's task has ended.
    pub async fn peak(&self, reset: bool) -> Result<PeakRecord, EngineTaskError> {
        self.context
            .ask(|reply| EngineMessage::Peak { reply, reset })
            .await
    }

    /// Replaces the active faults with `settings`.
    pub async fn set_faults(&self, settings: FaultSettings) {
        self.gate.set_faults(settings).await;
    }
}
